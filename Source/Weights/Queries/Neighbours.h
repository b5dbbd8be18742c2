#pragma once

#include "Weights/PeerClient.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// The peers whose holdings an agent polls. They are in the same region, preferably in the same data centre, with some
// places reserved for other data centres. Rendezvous hashing limits the changes when a member joins or leaves.
std::vector<Participant> chooseNeighbours(const Participant& self, const std::vector<Participant>&);

} // namespace Lavenderloft::Weights::Queries
