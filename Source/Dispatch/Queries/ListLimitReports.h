#pragma once

#include "Dispatch/DispatchState.h"
#include "Dispatch/LimitReport.h"

#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// What this router knows of the limits of targets, for the other routers. Limits that ended are listed for some time.
std::vector<LimitReport> listLimitReports(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
