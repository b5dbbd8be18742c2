#pragma once

#include "Routing/Queries/DecideRetry.h"
#include "Routing/RoutingError.h"

namespace Lavenderloft::Routing {

// Advice to callers on when a target may be free again.
inline constexpr std::chrono::milliseconds retryAdvice { 1000 };

// How an attempt failed, for the log and for the caller if no other attempt follows.
struct AttemptFailure {
    Queries::FailureKind kind;
    RoutingError error;
    bool engineCrashed = false;
};

} // namespace Lavenderloft::Routing
