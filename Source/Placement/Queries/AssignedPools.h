#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// Name of the pool for each VM that serves one.
using Assignment = std::map<std::string, std::string>;

// Assigns pools to the agents beside model engines. Each pool takes its replicas along a ranking of the
// members by rendezvous hashing that goes round the data centres; where two pools want one member, the
// higher priority wins. The result depends on the names of the members only, not on their load, so that a
// member that leaves or joins moves few replicas.
Assignment assignedPools(const DesiredState::Document&, const std::vector<Membership::Member>&);

} // namespace Lavenderloft::Placement::Queries
