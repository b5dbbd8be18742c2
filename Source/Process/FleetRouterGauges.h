#pragma once

#include "Dispatch/DispatchState.h"
#include "Fleet/FleetState.h"
#include "Observability/Metrics.h"
#include "Peering/PeerTable.h"
#include "Peering/PeeringNode.h"
#include "Peering/StoreFollower.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Process {

// State of a fleet's router at one moment, as metrics. Gauges are updated only when they are read, which costs nothing between
// two reads.
class FleetRouterGauges {
public:
    // What is counted elsewhere.
    struct Counts {
        size_t openRequests = 0;
        size_t heldBackTargets = 0;
        uint64_t closedNodeConnections = 0;
    };

    FleetRouterGauges(Observability::Metrics&, const Fleet::FleetState&, const Peering::PeerTable&, Dispatch::DispatchState&, const Peering::PeeringNode&, const Peering::StoreFollower&);

    // Sets all gauges. Used on the event loop of the follower.
    void update(const Counts&, Base::TimePoint now);

private:
    void updateFleet();
    void updateStore(Base::TimePoint now);
    void updateServices(Base::TimePoint now);
    void updateRetries(const std::string& service, const Dispatch::RetryUse&, const Dispatch::RetryLimits&);
    void updateDemand(Base::TimePoint now);

    Observability::Metrics& m_metrics;
    const Fleet::FleetState& m_fleet;
    const Peering::PeerTable& m_peers;
    Dispatch::DispatchState& m_dispatch;
    const Peering::PeeringNode& m_peering;
    const Peering::StoreFollower& m_follower;
};

} // namespace Lavenderloft::Process
