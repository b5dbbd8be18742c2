#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Queries {

// Requests per second that this router receives for engine services.
double engineDemand(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
