#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Placement/Queries/AssignedPools.h"

#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// Input of the decisions on switching. The assignment must be computed from the document and the members.
struct PlacementView {
    const DesiredState::Document& document;
    const std::vector<Membership::Member>& members;
    const Assignment& assignment;
};

// A replica that is a candidate for switching to other weights.
struct SwitchCandidate {
    std::string vm;
    // Pool whose weights it would load.
    std::string pool;
    // Pool that it currently serves; empty if none, in which case the switch reduces no capacity.
    std::string servedPool;
};

// Whether the replica may claim a switch: fewer than maxUnavailable replicas are unavailable, and its rank among
// those waiting to switch is below the difference. All agents with the same view reach the same decision.
bool maySwitch(const PlacementView&, const SwitchCandidate&);

// Whether a published claim is still valid: including all claims received since, no more than maxUnavailable
// replicas are unavailable. Two replicas that claimed without knowing of each other both withdraw.
bool isClaimValid(const PlacementView&, const SwitchCandidate&);

// Whether a replica that is no longer wanted may stop serving, that is, all members assigned to its pool serve.
bool mayRelease(const PlacementView&, const std::string& vm, const std::string& servedPool);

} // namespace Lavenderloft::Placement::Queries
