#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Queries {

// What the other routers need to know of prompt parts: crashes that this router confirmed recently, all crashes of parts
// of which it refused a request recently unless another router reported them, and responses that clear reported parts. The parts with most crashes come first.
PartReports listPartReports(const DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
