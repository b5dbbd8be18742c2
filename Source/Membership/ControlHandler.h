#pragma once

#include "Membership/GossipMessage.h"
#include "Membership/PeerClient.h"

#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// The fleet as seen by one process.
struct FleetStatus {
    Member self;
    std::vector<Member> members;
    // Reports of pools in other data centres; empty on processes that are not relays.
    std::vector<PoolReport> poolReports;
    uint64_t revision = 0;
    std::string documentDigest;
    std::string refusedDocument;
    Base::Duration confirmationAge {};
};

// Handles the calls of the control service.
class ControlHandler {
public:
    virtual ~ControlHandler() = default;

    virtual GossipMessage exchange(const GossipMessage& request) = 0;
    virtual DocumentReply documentFor(const std::string& heldDigest) = 0;
    virtual FleetStatus fleetStatus() = 0;
};

} // namespace Lavenderloft::Membership
