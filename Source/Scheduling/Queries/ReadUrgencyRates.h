#pragma once

#include "Scheduling/UrgencyRates.h"

namespace Lavenderloft::Scheduling::Queries {

// Events per second as of now.
double rateAt(const EventRate&, Base::TimePoint now);

// Adds the rates to the demand of a router.
void addRates(DemandByUrgency&, const UrgencyRates&, Base::TimePoint now);

} // namespace Lavenderloft::Scheduling::Queries
