#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/PeerClient.h"

#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// What one process knows of the fleet.
struct FleetStatus {
    Member self;
    std::vector<Member> members;
    // Pools of other data centres; only relays have them.
    std::vector<PoolReport> poolReports;
    uint64_t revision = 0;
    std::string documentDigest;
    std::string refusedDocument;
    Base::Duration confirmationAge {};
};

// Answers the control service's calls.
class ControlHandler {
public:
    virtual ~ControlHandler() = default;

    virtual GossipMessage exchange(const GossipMessage& request) = 0;
    virtual DocumentReply documentFor(const std::string& heldDigest) = 0;
    virtual FleetStatus fleetStatus() = 0;
};

} // namespace Lavenderloft::Membership
