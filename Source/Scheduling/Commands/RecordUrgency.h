#pragma once

#include "Scheduling/UrgencyRates.h"

namespace Lavenderloft::Scheduling::Commands {

// Counts a request that arrives.
void countArrival(UrgencyRates&, int urgency, Base::TimePoint now);

// Counts a request that is assigned to a slot.
void countStart(UrgencyRates&, int urgency, Base::TimePoint now);

} // namespace Lavenderloft::Scheduling::Commands
