#pragma once

#include "Routing/Queries/DecideRetry.h"
#include "Routing/RoutingError.h"

namespace Lavenderloft::Routing {

// Retry-After for errors that have no estimate of their own.
inline constexpr std::chrono::milliseconds defaultRetryAfter { 1000 };

// Why an attempt failed. The error is logged, and returned to the caller if no other attempt follows.
struct AttemptFailure {
    Queries::FailureKind kind;
    RoutingError error;
    bool engineCrashed = false;
};

} // namespace Lavenderloft::Routing
