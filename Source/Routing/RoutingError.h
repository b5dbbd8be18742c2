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

// What is known of the call that an error answers.
enum class Outcome {
    // It is certain that no target ran it.
    NotRun,
    Unknown,
    Complete,
};

// An error for a caller. Codes are stable; docs/callers.md lists them.
struct RoutingError {
    ErrorCode code = ErrorCode::NotRun;
    std::string message;
    std::string remedy;
    Outcome outcome = Outcome::NotRun;
    // When a new try is worthwhile; zero when there is no estimate.
    std::chrono::milliseconds retryAfter { 0 };
};

// The stable name of the code, such as "no_route".
std::string_view codeName(ErrorCode);

// "not_run", "unknown" or "complete".
std::string_view outcomeName(Outcome);

} // namespace Lavenderloft::Routing
