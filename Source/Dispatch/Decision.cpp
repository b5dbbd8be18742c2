#include "Dispatch/Decision.h"

namespace Lavenderloft::Dispatch {

std::string_view refusalName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::NoTarget:
        return "no_target";
    case RefusalReason::HeldBack:
        return "held_back";
    case RefusalReason::Overloaded:
        return "overloaded";
    case RefusalReason::Displaced:
        return "displaced";
    case RefusalReason::RetryBudget:
        return "retry_budget";
    case RefusalReason::Quarantined:
        return "quarantined";
    case RefusalReason::BlockedPart:
        return "blocked_part";
    case RefusalReason::OutOfTime:
        return "out_of_time";
    }
    return "unknown";
}

} // namespace Lavenderloft::Dispatch
