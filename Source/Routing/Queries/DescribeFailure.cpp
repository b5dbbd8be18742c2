#include "Routing/Queries/DescribeFailure.h"

#include "Routing/Queries/DescribeRefusal.h"

namespace Lavenderloft::Routing::Queries {

using namespace std::chrono_literals;

namespace {

    // Backoff of a target after a refusal, for load and for other reasons.
    constexpr auto overloadBackoff = 50ms;
    constexpr auto refusalBackoff = 500ms;

    AttemptFailure makeFailure(FailureKind kind, ErrorCode code, std::string message, std::string remedy)
    {
        return { kind, { code, std::move(message), std::move(remedy), Outcome::NotRun, defaultRetryAfter } };
    }

} // namespace

AttemptFailure refusalFailure(const Refusal& refusal, bool keyFromCaller)
{
    AttemptFailure failure { classifyRefusal(refusal), { refusalCode(refusal.kind), refusal.message, refusalRemedy(refusal.kind), refusalOutcome(refusal.kind, keyFromCaller), refusal.retryAfter } };
    if (!failure.error.retryAfter.count())
        failure.error.retryAfter = defaultRetryAfter;
    return failure;
}

AttemptFailure incompleteResponseFailure(const ResponseEnd& end)
{
    if (end.kind == EndKind::NotRun)
        return makeFailure(FailureKind::NotRun, ErrorCode::NotRun, "the agent could not connect to the target", "retry");
    auto failure = makeFailure(FailureKind::Failed, ErrorCode::OutcomeUnknown, "the target did not complete the response: " + end.message, "check whether the call took effect before sending it again");
    failure.engineCrashed = end.engineCrashed;
    return failure;
}

AttemptFailure invalidResponseFailure(std::string message)
{
    return makeFailure(FailureKind::Failed, ErrorCode::OutcomeUnknown, std::move(message), "retry");
}

AttemptFailure connectionFailure(bool isSent, bool isRepeatable)
{
    if (!isSent)
        return makeFailure(FailureKind::NotRun, isRepeatable ? ErrorCode::NotRun : ErrorCode::HomeUnreachable, "the connection to the target failed before the request was sent", "retry");
    return makeFailure(FailureKind::DisconnectedAfterSend, ErrorCode::OutcomeUnknown, "the connection to the target was lost after the request was sent", "check whether the call took effect before sending it again");
}

RoutingError requestBudgetError()
{
    return { ErrorCode::AtLimit, "the requests in flight at this router have reached streamBudgetBytes", "retry after retryAfterMs", Outcome::NotRun, defaultRetryAfter };
}

RoutingError deniedRetryError(const AttemptFailure& failure)
{
    if (failure.kind == FailureKind::RefusedForLoad)
        return failure.error;
    return { ErrorCode::RetryBudgetSpent, failure.error.message + "; the retry budget is exhausted", "retry later", Outcome::NotRun, defaultRetryAfter };
}

RoutingError quarantineError(const QuarantineStatus& status)
{
    if (status.state == QuarantineState::Quarantined)
        return { ErrorCode::Quarantined, "the request crashed two targets and is quarantined", "change the request; the quarantine ends after ten minutes", Outcome::NotRun, QuarantineTable::retention };
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(status.pendingFor);
    return { ErrorCode::QuarantinePending, "the request ran on two targets that crashed; the crash reports of other routers are not complete", "retry after retryAfterMs", Outcome::NotRun, wait };
}

RoutingError deadlineError(std::string message)
{
    return { ErrorCode::DeadlineExceeded, std::move(message), "send a longer X-Deadline-Ms or retry", Outcome::NotRun, defaultRetryAfter };
}

RoutingError stoppedError(bool mayHaveRun)
{
    if (mayHaveRun)
        return { ErrorCode::OutcomeUnknown, "the router stopped before the request ended", "check whether the call took effect before sending it again", Outcome::Unknown, defaultRetryAfter };
    return { ErrorCode::NotRun, "the router stopped before a target ran the request", "retry", Outcome::NotRun, defaultRetryAfter };
}

RoutingError noTargetError(const LiveRequest& request, std::string_view reason)
{
    auto code = request.repeatable ? ErrorCode::NoTarget : ErrorCode::HomeUnreachable;
    return { code, "no target of " + request.destination + " is available: " + std::string(reason), "retry later; operators can inspect the targets with lavenderloft status", Outcome::NotRun, defaultRetryAfter };
}

Base::Duration backoffAfter(const Refusal& refusal)
{
    // Other adapters and the base model may still be available on the target.
    if (refusal.kind == RefusalKind::AdapterNotLoaded)
        return {};
    if (refusal.kind == RefusalKind::AtLimit)
        return std::max<Base::Duration>(refusal.retryAfter, overloadBackoff);
    return std::max<Base::Duration>(refusal.retryAfter, refusalBackoff);
}

} // namespace Lavenderloft::Routing::Queries
