#pragma once

#include "Base/RandomSource.h"
#include "Scheduling/UrgencyDemand.h"

#include <vector>

namespace Lavenderloft::Scheduling::Queries {

// A router that may get free slots of an engine.
struct SlotClaim {
    DemandByUrgency byUrgency;
    // Weight of the slots that urgent requests leave.
    double demand = 1;
    // Factor of all weights, which prefers routers near the engine.
    double preference = 1;
};

// Distributes free slots of an engine at random: first by urgency to the requests that wait or are expected before the next
// report, weighted by the need of each router, then the others by demand. One in StarvationFloor::startsPerFloorStart goes
// to the least urgent requests. `slotsElsewhere` is the expected number of slots that other engines distribute at the same
// time, so that not all of them go to the same requests. Returns the number of slots by index of the claim.
std::vector<unsigned> distributeSlots(unsigned freeSlots, const std::vector<SlotClaim>&, double slotsElsewhere, Base::RandomSource&);

} // namespace Lavenderloft::Scheduling::Queries
