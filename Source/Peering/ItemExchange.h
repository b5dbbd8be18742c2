#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Fleet/NodeSettings.h"
#include "Http/PersistentHttpClient.h"
#include "Peering/ItemMerger.h"
#include "Peering/PeerTable.h"
#include "Peering/ValuePacker.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace Lavenderloft::Peering {

// Fetches the published items that this node misses from a router with a newer position, and serves the items of this
// node to others. Runs on one event loop.
class ItemExchange {
public:
    // Whether this node follows the store itself.
    using FollowsStore = std::function<bool()>;
    // Called after items were fetched from the router.
    using FetchHandler = std::function<void(const PeerRouter&)>;

    static constexpr std::string_view path = "/items";

    ItemExchange(boost::asio::io_context&, const Fleet::NodeSettings&, PeerTable&, ItemMerger&, const Base::Clock&);

    // Fetches until the event loop ends.
    boost::asio::awaitable<void> run(FollowsStore, FetchHandler);

    // Fetches at once if the position, which a router reported, is newer than that of this node.
    void positionReported(Fleet::StorePosition);

    // Whether all items were fetched from another router once, with the age of each. Items listed from the store have no
    // age.
    bool hasFetchedAll() const { return m_hasFetchedAll; }

    // Whether this node has been behind other routers for longer than a fetch takes.
    bool isLagging() const;

    // Responds with the items after the position that is given in the request's query, large values packed if asked for, or with 410 if this node may lack
    // deletions after it.
    Http::HttpResponse respond(const Http::HttpRequest&);

private:
    enum class ValueEncoding {
        // Large values as differences.
        Packed,
        Plain,
    };

    boost::asio::awaitable<bool> fetchFrom(const PeerRouter&);
    // Requests the items after the position; all items if it is zero.
    boost::asio::awaitable<std::optional<Http::HttpResponse>> requestItems(const PeerRouter&, Fleet::StorePosition after, ValueEncoding);
    std::optional<PeerRouter> routerToFetchFrom() const;
    // Position after which items are missing.
    Fleet::StorePosition completePosition() const;
    void updateLag();

    boost::asio::io_context& m_context;
    const Fleet::NodeSettings& m_settings;
    PeerTable& m_peers;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    boost::asio::steady_timer m_timer;
    ValuePacker m_packer;
    std::unique_ptr<Http::PersistentHttpClient> m_client;
    Base::AdaptiveTimeout m_fetchTimeout;
    bool m_hasFetchedAll = false;
    // Since when another router has had a newer position.
    std::optional<Base::TimePoint> m_laggingSince;
};

} // namespace Lavenderloft::Peering
