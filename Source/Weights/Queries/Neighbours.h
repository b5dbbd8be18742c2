#pragma once

#include "Weights/PeerClient.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// The agents whose holdings an agent follows: of its own region, its own data centre first, with some places kept
// for other data centres. The choice is by rendezvous hashing, so that a change of one member changes few of them.
std::vector<Participant> chooseNeighbours(const Participant& self, const std::vector<Participant>&);

} // namespace Lavenderloft::Weights::Queries
