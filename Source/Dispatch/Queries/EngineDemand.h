#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Queries {

// Requests for services of engines that this router gets in a second.
double engineDemand(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
