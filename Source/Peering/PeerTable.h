#pragma once

// Peering: the nodes of one fleet tell each other what was published, who they are and how loaded the
// engines beside them are. Nothing of it is kept; a node that starts learns everything anew.

#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Peering {

// What a router says of its contact with the store.
struct StoreClaim {
    // When the router said so; nothing if it does not follow the store.
    std::optional<Base::TimePoint> claimedAt;
    // When the store had last told it everything.
    Base::TimePoint syncedAt {};
};

// A router as this node knows it.
struct PeerRouter {
    std::string address;
    std::string dataCentre;
    Base::TimePoint heardAt {};
    // Revision that the router itself named last.
    uint64_t revision = 0;
    // Requests for engines that the router gets in a second; zero while it has not said so itself.
    double demand = 0;
    // What the router itself last said of the store.
    StoreClaim store {};
    // It did not answer a request for items; it is asked again only after this time.
    Base::TimePoint avoidUntil {};
};

// An agent that reports to this router.
struct PeerAgent {
    std::string address;
    Base::TimePoint heardAt {};
    Base::TimePoint answeredAt {};
    uint64_t revision = 0;
};

// Routers and agents by address. Changed by Commands/RecordPeer, read by Queries/ListPeers.
class PeerTable {
public:
    // A router that was not heard for this time gets no messages.
    static constexpr std::chrono::seconds routerSilence { 5 };
    // It counts this long among those that share the fleet's limits: it may live behind a partition.
    static constexpr std::chrono::seconds routerRetention { 60 };

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
