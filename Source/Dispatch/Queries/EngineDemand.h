#pragma once

#include "Dispatch/DispatchState.h"
#include "Scheduling/UrgencyDemand.h"

namespace Lavenderloft::Dispatch::Queries {

// Requests per second that this router receives for engine services.
double engineDemand(DispatchState&, Base::TimePoint now);

// Demand of this router for engine services by urgency. Empty unless the routes to them differ in priority.
Scheduling::DemandByUrgency engineDemandByUrgency(DispatchState&, Base::TimePoint now);

// Whether requests wait that are more urgent than the least urgent route to engine services.
bool isUrgentWaiting(DispatchState&, const Scheduling::DemandByUrgency&);

// Number of engines at which this router may not reuse all slots that it releases.
size_t countReuseLimits(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
