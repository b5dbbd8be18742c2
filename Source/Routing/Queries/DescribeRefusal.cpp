#include "Routing/Queries/DescribeRefusal.h"

namespace Lavenderloft::Routing::Queries {

ErrorCode refusalCode(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::AtLimit:
        return ErrorCode::AtLimit;
    case RefusalKind::KeyNotVouched:
    case RefusalKind::KeyRequired:
        return ErrorCode::KeyNotVouched;
    case RefusalKind::KeyRunning:
        return ErrorCode::KeyRunning;
    case RefusalKind::KeyOutcomeUnknown:
        return ErrorCode::OutcomeUnknown;
    case RefusalKind::KeyMemoryFull:
        return ErrorCode::KeyMemoryFull;
    case RefusalKind::TooLarge:
        return ErrorCode::TooLarge;
    case RefusalKind::Quarantined:
        return ErrorCode::Quarantined;
    case RefusalKind::Deadline:
        return ErrorCode::DeadlineExceeded;
    case RefusalKind::PermitExpired:
        return ErrorCode::NotRun;
    default:
        return ErrorCode::TargetRefused;
    }
}

std::string refusalRemedy(RefusalKind kind)
{
    switch (kind) {
    case RefusalKind::KeyNotVouched:
    case RefusalKind::KeyRequired:
        return "check whether an earlier call with this key took effect; for a new call, use a new UUID version 7 as the key";
    case RefusalKind::KeyRunning:
        return "send the call again later with the same key to get its response";
    case RefusalKind::KeyOutcomeUnknown:
        return "check whether the call took effect before sending it with another key";
    case RefusalKind::TooLarge:
        return "send a smaller body";
    case RefusalKind::Quarantined:
        return "change the request";
    case RefusalKind::Deadline:
        return "send a longer X-Deadline-Ms";
    default:
        return "retry after retryAfterMs";
    }
}

Outcome refusalOutcome(RefusalKind kind, bool keyFromCaller)
{
    switch (kind) {
    case RefusalKind::KeyOutcomeUnknown:
    case RefusalKind::KeyRunning:
        return Outcome::Unknown;
    case RefusalKind::KeyNotVouched:
        return keyFromCaller ? Outcome::Unknown : Outcome::NotRun;
    default:
        return Outcome::NotRun;
    }
}

} // namespace Lavenderloft::Routing::Queries
