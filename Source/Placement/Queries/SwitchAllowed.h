#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Placement/Queries/AssignedPools.h"

#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// What decisions on switching look at; the assignment is that of the document and the members.
struct PlacementView {
    const DesiredState::Document& document;
    const std::vector<Membership::Member>& members;
    const Assignment& assignment;
};

// A replica that could switch to other weights.
struct SwitchCandidate {
    std::string vm;
    // Pool whose weights it is to load.
    std::string pool;
    // Pool that it serves now; empty if it serves none, so that the switch takes nothing away.
    std::string servedPool;
};

// Whether the replica may claim to switch: fewer replicas than maxUnavailable are out, and its rank among
// those that wait to switch is below the difference. All decide alike from the same view.
bool maySwitch(const PlacementView&, const SwitchCandidate&);

// Whether a claim published a while ago still stands: with all claims seen since, no more than
// maxUnavailable replicas are out. Two that claimed without knowing of each other both give up.
bool claimStands(const PlacementView&, const SwitchCandidate&);

// Whether a replica that is no longer wanted may stop serving: all members that are to serve its pool do.
bool mayRelease(const PlacementView&, const std::string& vm, const std::string& servedPool);

} // namespace Lavenderloft::Placement::Queries
