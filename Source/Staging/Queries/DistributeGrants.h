#pragma once

#include "Base/RandomSource.h"
#include "Peering/PeerTable.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// Deals the free places of an engine to routers, so that they do not all take the same place at once.
// Routers with more requests get more, and those of the engine's data centre before others, because bytes
// between data centres are scarce.
std::map<std::string, unsigned> distributeGrants(unsigned freePlaces, const std::vector<Peering::PeerRouter>&, const std::string& dataCentre, Base::RandomSource&);

} // namespace Lavenderloft::Staging::Queries
