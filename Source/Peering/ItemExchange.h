#pragma once

#include "Base/AdaptiveTimeout.h"
#include "Http/PersistentHttpClient.h"
#include "Peering/ItemReceiver.h"
#include "Peering/ItemSupplier.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
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

    // Fetches at once if the position, which a router reported, is newer than that of this node, or if the router may keep
    // versions in force that this node does not have.
    void reportReceived(Fleet::StorePosition, uint64_t retainedDigest);

    // Whether all items were fetched from another router once, with the age of each. Items listed from the store have no
    // age.
    bool hasFetchedAll() const { return m_receiver.hasFetchedAll(); }

    // Whether this node has been behind other routers for longer than a fetch takes.
    bool isLagging() const { return m_receiver.isLagging(); }

    // Responds with the items after the position that is given in the request's query, large values packed if asked for, or
    // with 410 if this node may lack deletions after it.
    Http::HttpResponse respond(const Http::HttpRequest&);

private:
    boost::asio::awaitable<bool> fetch(ItemFetch);
    boost::asio::awaitable<std::optional<Http::HttpResponse>> requestItems(const ItemFetch&, ValueEncoding);
    void recordResponseTime(const ItemFetch&, const Base::Result<Http::HttpResponse, Http::HttpError>&);
    bool mergeResponse(const ItemFetch&, const Http::HttpResponse&);

    boost::asio::io_context& m_context;
    const Fleet::NodeSettings& m_settings;
    const Base::Clock& m_clock;
    ItemReceiver m_receiver;
    ItemSupplier m_supplier;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<Http::PersistentHttpClient> m_client;
    // By address, of routers that did not respond at once: a silent router says nothing of the next one.
    std::map<std::string, Base::AdaptiveTimeout> m_fetchTimeouts;
};

} // namespace Lavenderloft::Peering
