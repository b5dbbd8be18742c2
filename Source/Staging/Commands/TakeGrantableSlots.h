#pragma once

#include "Staging/GrantableSlots.h"

#include <optional>

namespace Lavenderloft::Staging::Commands {

// Records whether urgent requests lack a slot, as far as the routers have reported it.
void recordUrgentNeed(GrantableSlots&, bool isUnmet, Base::TimePoint now);

// Records whether a report limits the reuse of slots, and whether such reports reach all routers while the limit is valid.
void recordReuseLimits(GrantableSlots&, bool isLimited, bool reachesAllRouters);

// Returns how many of the free slots may be granted with the load report that is made now. `coldRate` is the permitted
// request rate per second of a cold engine; empty if it is not limited.
unsigned takeGrantableSlots(GrantableSlots&, unsigned free, std::optional<double> coldRate, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Commands
