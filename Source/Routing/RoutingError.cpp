#include "Routing/RoutingError.h"

namespace Lavenderloft::Routing {

std::string_view codeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::MalformedHeader:
        return "malformed_header";
    case ErrorCode::NoRoute:
        return "no_route";
    case ErrorCode::NotSynchronised:
        return "not_synchronised";
    case ErrorCode::ServicePaused:
        return "service_paused";
    case ErrorCode::NoTarget:
        return "no_target";
    case ErrorCode::AtLimit:
        return "at_limit";
    case ErrorCode::HomeUnreachable:
        return "home_unreachable";
    case ErrorCode::NotRun:
        return "not_run";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::RetryBudgetSpent:
        return "retry_budget_spent";
    case ErrorCode::Quarantined:
        return "quarantined";
    case ErrorCode::QuarantinePending:
        return "quarantine_pending";
    case ErrorCode::KeyNotVouched:
        return "key_not_vouched";
    case ErrorCode::KeyRunning:
        return "key_running";
    case ErrorCode::KeyMemoryFull:
        return "key_memory_full";
    case ErrorCode::TooLarge:
        return "too_large";
    case ErrorCode::TargetRefused:
        return "target_refused";
    }
    return "not_run";
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Complete:
        return "complete";
    }
    return "unknown";
}

} // namespace Lavenderloft::Routing
