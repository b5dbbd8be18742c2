#pragma once

#include "Base/StallMonitor.h"
#include "Fleet/NodeSettings.h"
#include "Peering/ItemExchange.h"
#include "Peering/ItemMerger.h"
#include "Peering/PeerReports.h"
#include "Peering/PeerTable.h"
#include "Peering/PeeringCodec.h"
#include "Peering/StoreTakeover.h"

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Lavenderloft::Peering {

// Part of the slots of the local engine that a router may use until the next report.
struct RouterShare {
    unsigned granted = 0;
    // Empty if the router may reuse all slots that it releases.
    std::optional<Scheduling::ReuseLimit> reuse {};
};

// Exchanges messages with the other nodes, and fetches missing published items from a router with a newer revision.
// Runs on one event loop.
class PeeringNode {
public:
    // Called by a router for each load report of an engine.
    using LoadHandler = std::function<void(const EngineLoad&)>;
    // Called by a router for crashes confirmed by another router.
    using CrashHandler = std::function<void(const std::vector<Dispatch::CrashReport>&)>;
    // Returns the crashes of the requests that this router refuses because of them.
    using CrashProvider = std::function<std::vector<Dispatch::CrashReport>()>;
    // Called by a router for what another router reports of prompt parts.
    using PartHandler = std::function<void(const Dispatch::PartReports&)>;
    // Called by a router for the limits that another router reports, with ages as of now.
    using LimitHandler = std::function<void(const std::vector<Dispatch::LimitReport>&)>;
    // Returns the limits that this router knows, the most recently stated ones first.
    using LimitProvider = std::function<std::vector<Dispatch::LimitReport>()>;
    // Returns when this node was last synchronised with the store; nullopt if it does not follow the store.
    using StoreSyncTimeProvider = std::function<std::optional<Base::TimePoint>()>;

    // Throws std::runtime_error that names the address if the UDP socket cannot be bound.
    PeeringNode(boost::asio::io_context&, const Fleet::NodeSettings&, PeerTable&, ItemMerger&, const Base::Clock&, const Base::StallMonitor&, bool isRouter);

    void setLoadHandler(LoadHandler handler) { m_onLoad = std::move(handler); }
    void setCrashHandler(CrashHandler handler) { m_onCrashes = std::move(handler); }
    void setCrashProvider(CrashProvider provider) { m_quarantineCrashes = std::move(provider); }
    void setPartHandler(PartHandler handler) { m_onParts = std::move(handler); }
    void setLimitHandler(LimitHandler handler) { m_onLimits = std::move(handler); }
    void setLimitProvider(LimitProvider provider) { m_limits = std::move(provider); }
    void setStoreSyncTimeProvider(StoreSyncTimeProvider provider) { m_storeSyncTime = std::move(provider); }

    void start();

    // Returns the routers that receive the next load report: all of the own region and a rotating subset of the others.
    std::vector<PeerRouter> nextLoadReceivers();

    // Sends the load of the local engine to the routers, to each with its share of the slots.
    void sendLoad(const EngineLoad&, const std::vector<PeerRouter>&, const std::map<std::string, RouterShare>&);

    // Sets the rate of requests for engines that this router reports.
    void setDemand(double requestsPerSecond) { m_demand = requestsPerSecond; }

    // Sets the demand by urgency that this router reports, and whether urgent requests wait, of which agents are told more
    // often.
    void setUrgencyDemand(const Scheduling::DemandByUrgency&, bool isUrgentWaiting);

    // Live routers that have been heard of, with what they report.
    std::vector<PeerRouter> knownRouters() const;

    // Numbers in the demands of other routers that were out of their bounds.
    uint64_t clampedDemands() const { return m_clampedDemands; }

    // Notifies the routers that this node is shutting down.
    void announceLeaving();

    // Notifies the routers of the own region, and a rotating subset of the others, of a new revision.
    void announceRevision();

    // Notifies the other routers of crashes, and of what is known of prompt parts. As much as fits into a datagram is sent,
    // from the front.
    void announceCrashes(const std::vector<Dispatch::CrashReport>&, const Dispatch::PartReports&);

    // Whether this router follows the store itself: no router of its region that follows the store relays the published
    // items in time, and the routers before it have not taken over either.
    bool shouldFollowStore();

    // Whether all items were fetched from another router once.
    bool hasFetchedItems() const { return m_items.hasFetchedAll(); }

    // Serves the items after the revision that is given in the request's query.
    Http::HttpResponse handleItemsRequest(const Http::HttpRequest& request) { return m_items.respond(request); }

    // Whether a message from any router was received recently.
    bool hasLiveRouters() const;

    static constexpr std::string_view itemsPath = ItemExchange::path;

private:
    boost::asio::awaitable<void> receiveMessages();
    boost::asio::awaitable<void> sendHeartbeats();
    void handleMessage(const NodeMessage&);
    NodeMessage describeSelf() const;
    // Time since this node was last synchronised with the store; nothing if it does not follow the store.
    std::optional<std::chrono::milliseconds> storeAge() const;
    void addKnownRouters(NodeMessage&);
    std::vector<PeerRouter> nextHeartbeatReceivers(const std::vector<PeerRouter>& routers);
    void announceFetched(const PeerRouter& source);
    bool followsStore() const;
    void replyToAgent(const std::string& address, Fleet::StorePosition);
    void sendDemand(const std::string& address);
    void recordClampedDemands(const NodeMessage&);
    void sendTo(const std::string& address, const std::string& bytes);
    void sendTimed(const std::string& address, const std::string& bytes, Base::TimePoint agesReadAt);
    bool isTimedLoadDue(const std::string& address);
    void removeExpired();
    void logNewRouter(const std::string& address, const std::string& dataCentre);
    void handleRouterMessage(const NodeMessage&);
    void introduceTo(const NodeMessage&);
    void addLimits(NodeMessage&);
    void handleLimits(const NodeMessage&);

    boost::asio::io_context& m_context;
    const Fleet::NodeSettings& m_settings;
    PeerTable& m_peers;
    ItemMerger& m_merger;
    const Base::Clock& m_clock;
    const bool m_isRouter;
    boost::asio::ip::udp::socket m_socket;
    PeerReports m_reports;
    // When each router was last sent a load report with the times of the message.
    std::map<std::string, Base::TimePoint> m_timedLoadSentAt;
    ItemExchange m_items;
    StoreTakeover m_takeover;
    LoadHandler m_onLoad;
    CrashHandler m_onCrashes;
    CrashProvider m_quarantineCrashes;
    PartHandler m_onParts;
    LimitHandler m_onLimits;
    LimitProvider m_limits;
    size_t m_limitsPosition = 0;
    StoreSyncTimeProvider m_storeSyncTime;
    double m_demand = 0;
    Scheduling::DemandByUrgency m_urgencyDemand;
    // When urgent requests last waited; empty if none did.
    std::optional<Base::TimePoint> m_urgentWaitedAt;
    std::atomic<uint64_t> m_clampedDemands { 0 };
    // Positions of the rotations over known routers, heartbeat receivers and load receivers.
    size_t m_knownRoutersPosition = 0;
    size_t m_ownRegionPosition = 0;
    size_t m_otherRegionsPosition = 0;
    size_t m_loadPosition = 0;
};

} // namespace Lavenderloft::Peering
