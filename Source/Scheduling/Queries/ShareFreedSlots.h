#pragma once

#include "Scheduling/ReuseAllowance.h"
#include "Scheduling/UrgencyDemand.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace Lavenderloft::Scheduling::Queries {

// One engine among those that serve the demand.
struct EnginePart {
    // Slots of all engines together.
    unsigned fleetSlots = 0;
    // Slots of this engine.
    unsigned ownSlots = 0;

    double share() const { return fleetSlots > 0 ? std::min(1.0, static_cast<double>(ownSlots) / fleetSlots) : 1; }
};

// Divides the rate at which the slots of the engine become free among the routers: to the most urgent requests first, with
// headroom for their variance, and within an urgency by max-min fairness. The least urgent requests keep a floor of
// one in StarvationFloor::startsPerFloorStart. Returns the limit of each router; none if all requests are of one band. To
// be used only while the more urgent demand is not met, so that nothing is withheld that nobody needs.
std::vector<std::optional<ReuseLimit>> shareFreedSlots(const std::vector<DemandByUrgency>& routers, const EnginePart&);

// Whether requests lack a slot that are more urgent than others.
bool isUrgentUnmet(const std::vector<DemandByUrgency>& routers);

// Divides the amount among the needs so that the least satisfied one gets as much as possible, and none more than it needs.
std::vector<double> divideMaxMin(const std::vector<double>& needs, double amount);

// The least urgent band that has demand at any router; nothing if there is no demand or just one band.
std::optional<size_t> findLeastUrgentBand(const std::vector<DemandByUrgency>& routers);

} // namespace Lavenderloft::Scheduling::Queries
