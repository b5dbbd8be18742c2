#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace Lavenderloft::Routing {

enum class ErrorCode {
    MalformedHeader,
    NoRoute,
    NotSynchronised,
    ServicePaused,
    NoTarget,
    AtLimit,
    HomeUnreachable,
    NotRun,
    OutcomeUnknown,
    DeadlineExceeded,
    RetryBudgetSpent,
    Quarantined,
    QuarantinePending,
    KeyNotVouched,
    KeyRunning,
    KeyMemoryFull,
    TooLarge,
    TargetRefused,
};

// Whether the failed call has run.
enum class Outcome {
    // No target has run the call or will run it.
    NotRun,
    Unknown,
    Complete,
};

// An error returned to a caller. The codes are stable and listed in docs/callers.md.
struct RoutingError {
    ErrorCode code = ErrorCode::NotRun;
    std::string message;
    std::string remedy;
    Outcome outcome = Outcome::NotRun;
    // Suggested delay before a retry; zero if there is no estimate.
    std::chrono::milliseconds retryAfter { 0 };
};

// Name of the code in responses and logs, such as "no_route".
std::string_view codeName(ErrorCode);

// "not_run", "unknown" or "complete".
std::string_view outcomeName(Outcome);

} // namespace Lavenderloft::Routing
