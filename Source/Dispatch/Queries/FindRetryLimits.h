#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Queries {

// This router's part of the retry budget that all routers share.
RetryLimits findRetryLimits(const DispatchState&);

} // namespace Lavenderloft::Dispatch::Queries
