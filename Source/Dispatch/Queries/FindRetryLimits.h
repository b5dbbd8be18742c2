#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Queries {

// This router's part of the retry budget that all routers share. For one window after the start it has no slack, because the
// process before it may have spent it.
RetryLimits findRetryLimits(const DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
