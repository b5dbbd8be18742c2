#pragma once

#include "Fleet/NodeSettings.h"
#include "Http/KeptClient.h"
#include "Peering/ItemMerger.h"
#include "Peering/PeerTable.h"
#include "Peering/PeeringCodec.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Lavenderloft::Peering {

// Sends and receives the messages between nodes, and fetches published items from a router that knows more.
// Runs on one event loop.
class PeeringNode {
public:
    // What a router does with the load of an engine.
    using LoadHandler = std::function<void(const EngineLoad&)>;
    // What a router does with crashes that another one confirmed.
    using CrashHandler = std::function<void(const std::vector<Dispatch::CrashReport>&)>;
    // When the store last told this node everything; nothing if it does not follow the store.
    using StoreSyncTimeProvider = std::function<std::optional<Base::TimePoint>()>;

    // Throws std::runtime_error with the address if it cannot be bound.
    PeeringNode(boost::asio::io_context&, const Fleet::NodeSettings&, PeerTable&, ItemMerger&, const Base::Clock&, bool isRouter);

    void setLoadHandler(LoadHandler handler) { m_onLoad = std::move(handler); }

    void setCrashHandler(CrashHandler handler) { m_onCrashes = std::move(handler); }
    void setStoreSyncTimeProvider(StoreSyncTimeProvider contact) { m_storeSyncTime = std::move(contact); }

    void start();

    // Routers that are told the load of an engine next: all of the region, and some of the others in turn.
    std::vector<PeerRouter> nextLoadReceivers();

    // Tells the routers the load of the engine beside this node, and each what it may begin there.
    void sendLoad(const EngineLoad&, const std::vector<PeerRouter>&, const std::map<std::string, unsigned>& grantsByRouter);

    // Sets the number of requests for engines that this router gets in a second.
    void setDemand(double requestsPerSecond) { m_demand = requestsPerSecond; }

    // Tells the other nodes that this one is about to end.
    void announceLeaving();

    // Tells the routers of the region, and some of others, at once that this router knows a new revision.
    void announceRevision();

    // Tells the other routers of crashes.
    void announceCrashes(const std::vector<Dispatch::CrashReport>&);

    // Whether a router of the region follows the store, so that this one learns what is published from it.
    bool canRelyOnStoreFollower() const;

    // Items after the revision that the query of the request names, for another node.
    Http::HttpResponse handleItemsRequest(const Http::HttpRequest&) const;

    // Whether some router was heard lately.
    bool hasLiveRouters() const;

    static constexpr std::string_view itemsPath = "/items";

private:
    boost::asio::awaitable<void> receiveMessages();
    boost::asio::awaitable<void> sendHeartbeats();
    boost::asio::awaitable<void> fetchWhenBehind();
    boost::asio::awaitable<bool> fetchFrom(const PeerRouter&);
    void handle(const NodeMessage&);
    NodeMessage describeSelf() const;
    void nameRouters(NodeMessage&);
    std::vector<PeerRouter> nextHeartbeatReceivers(const std::vector<PeerRouter>& routers);
    std::optional<PeerRouter> routerToAsk() const;
    void noteLag();
    void sendTo(const std::string& address, const std::string& bytes);
    void noteFound(const std::string& address, const std::string& dataCentre);
    void noteRouterMessage(const NodeMessage&);

    boost::asio::io_context& m_context;
    const Fleet::NodeSettings& m_settings;
    PeerTable& m_peers;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    const bool m_isRouter;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_behind;
    std::unique_ptr<Http::KeptClient> m_client;
    // Everything was fetched from another router once, which tells the age of what stands in the store.
    bool m_fetchedAll = false;
    LoadHandler m_onLoad;
    CrashHandler m_onCrashes;
    StoreSyncTimeProvider m_storeSyncTime;
    double m_demand = 0;
    // Positions among the routers that are named, greeted and told of loads in turn.
    size_t m_namedPosition = 0;
    size_t m_ownRegionPosition = 0;
    size_t m_otherRegionsPosition = 0;
    size_t m_loadPosition = 0;
    // Since when some router has known more than this node.
    std::optional<Base::TimePoint> m_laggingSince;
};

} // namespace Lavenderloft::Peering
