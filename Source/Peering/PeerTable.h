#pragma once

// Peering exchanges published items, membership and engine load between the nodes of a fleet. Nothing is persisted:
// a node learns everything again when it starts.

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Fleet/StorePosition.h"
#include "Scheduling/UrgencyDemand.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// A router's own report on how recently it was synchronised with the store.
struct StoreSyncReport {
    // When the report was received; empty if the router does not follow the store.
    std::optional<Base::TimePoint> reportedAt;
    // When the router last had all published items.
    Base::TimePoint syncedAt {};
};

// What this node knows about a router.
struct PeerRouter {
    std::string address;
    std::string dataCentre;
    Base::TimePoint lastSeenAt {};
    // Last position reported by the router itself.
    Fleet::StorePosition position;
    // Rate of requests for engines at the router, per second; zero if the router has not reported it.
    double demand = 0;
    // Last report of the router itself.
    StoreSyncReport storeSync {};
    // The router did not respond to a request for items; no further request is sent to it before this time.
    Base::TimePoint backoffUntil {};
    // Empty if the router does not report it.
    Scheduling::DemandByUrgency urgencyDemand {};
    // When the router itself reported the demand.
    Base::TimePoint demandAt {};
    // Last report of the router itself, see Fleet::FleetSnapshot::retainedDigest.
    uint64_t retainedDigest = 0;
};

// An agent that reports its load to this router.
struct PeerAgent {
    std::string address;
    Base::TimePoint lastSeenAt {};
    Base::TimePoint lastRepliedAt {};
    // When the agent was last told the demand, in a reply or on its own.
    Base::TimePoint demandSentAt {};
    Fleet::StorePosition position;
};

// Routers and agents by address. Modified by Commands/RecordPeer, read by Queries/ListPeers.
class PeerTable {
public:
    // No messages are sent to a router that has been silent for longer.
    static constexpr std::chrono::seconds routerTimeout { 5 };
    // A silent router keeps its share of the fleet-wide limits for this long, because it may be running behind a network
    // partition.
    static constexpr std::chrono::seconds routerRetention { 60 };
    // A router that has not reported for longer has no urgent demand: it may be frozen, and would leave the slots unused.
    // Replies come once a second.
    static constexpr std::chrono::milliseconds demandLifetime { 1500 };

    using Routers = Base::ShardedMap<std::string, PeerRouter>;
    using Agents = Base::ShardedMap<std::string, PeerAgent>;

    Routers& routers() { return m_routers; }
    const Routers& routers() const { return m_routers; }
    Agents& agents() { return m_agents; }
    const Agents& agents() const { return m_agents; }

private:
    Routers m_routers;
    Agents m_agents;
};

} // namespace Lavenderloft::Peering
