#pragma once

#include "Base/RandomSource.h"
#include "Peering/PeerTable.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// Distributes the free slots of an engine among the routers, so that no two of them use the same slot. The
// assignment is random, weighted by each router's demand; routers in the engine's data centre have a higher weight,
// because bandwidth between data centres is scarce. Returns the number of grants by router address.
std::map<std::string, unsigned> distributeGrants(unsigned freeSlots, const std::vector<Peering::PeerRouter>&, const std::string& dataCentre, Base::RandomSource&);

} // namespace Lavenderloft::Staging::Queries
