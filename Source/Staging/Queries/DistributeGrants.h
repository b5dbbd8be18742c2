#pragma once

#include "Base/RandomSource.h"
#include "Peering/PeerTable.h"
#include "Scheduling/Queries/ShareFreedSlots.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Staging::Queries {

// What the distribution of an engine's slots depends on besides the routers.
struct GrantBasis {
    std::string dataCentre;
    // Moving average of the slots granted with a report, see GrantableSlots.
    double meanGranted = 0;
    Scheduling::Queries::EnginePart engine {};
    Base::TimePoint now {};
};

// Distributes the free slots of an engine among the routers, so that no two of them use the same slot: first to the routers
// with urgent requests, then by demand. The assignment is random, weighted by each router's demand; routers in the
// engine's data centre have a higher weight, because bandwidth between data centres is scarce. Returns the number of grants
// by router address.
std::map<std::string, unsigned> distributeGrants(unsigned freeSlots, const std::vector<Peering::PeerRouter>&, const GrantBasis&, Base::RandomSource&);

// Whether urgent requests lack a slot at any router.
bool isUrgentUnmet(const std::vector<Peering::PeerRouter>&, Base::TimePoint now);

// Limits on the slots that the routers reuse, by router address. Empty while the engine has slots to grant.
std::map<std::string, Scheduling::ReuseLimit> findReuseLimits(const std::vector<Peering::PeerRouter>&, const GrantBasis&);

} // namespace Lavenderloft::Staging::Queries
