#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// Names of the assigned pools, keyed by VM name.
using Assignment = std::map<std::string, std::string>;

// Assigns pools to the agents of model engines. Each pool ranks the members by rendezvous hashing, round-robin over
// the data centres, and takes its replicas in that order; if two pools want the same member, the higher priority
// wins. The result depends on the names of the members but not on their load, so that few replicas move when a
// member joins or leaves.
Assignment assignedPools(const DesiredState::Document&, const std::vector<Membership::Member>&);

} // namespace Lavenderloft::Placement::Queries
