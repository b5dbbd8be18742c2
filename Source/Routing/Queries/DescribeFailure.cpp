#include "Routing/Queries/DescribeFailure.h"

#include "Routing/Queries/DescribeRefusal.h"

namespace Lavenderloft::Routing::Queries {

using namespace std::chrono_literals;

namespace {

    // How long a target is left alone that refused for load, or that refused for another reason.
    constexpr auto loadPause = 50ms;
    constexpr auto unreadyPause = 500ms;

    AttemptFailure makeFailure(FailureKind kind, ErrorCode code, std::string message, std::string remedy)
    {
        return { kind, { code, std::move(message), std::move(remedy), Outcome::NotRun, retryAdvice } };
    }

} // namespace

AttemptFailure refusalFailure(const Refusal& refusal, bool keyFromCaller)
{
    AttemptFailure failed { classifyRefusal(refusal), { refusalCode(refusal.kind), refusal.message, refusalRemedy(refusal.kind), refusalOutcome(refusal.kind, keyFromCaller), refusal.retryAfter } };
    if (!failed.error.retryAfter.count())
        failed.error.retryAfter = retryAdvice;
    return failed;
}

AttemptFailure incompleteAnswer(const ResponseEnd& end)
{
    if (end.kind == EndKind::NotRun)
        return makeFailure(FailureKind::NotRun, ErrorCode::NotRun, "the target could not be reached by its agent", "retry");
    auto failed = makeFailure(FailureKind::Failed, ErrorCode::OutcomeUnknown, "the target broke off: " + end.message, "find out whether the call ran before you send it again");
    failed.engineCrashed = end.engineCrashed;
    return failed;
}

AttemptFailure unusableAnswer(std::string message)
{
    return makeFailure(FailureKind::Failed, ErrorCode::OutcomeUnknown, std::move(message), "retry");
}

AttemptFailure brokenStream(bool isSent, bool isRepeatable)
{
    if (!isSent)
        return makeFailure(FailureKind::NotRun, isRepeatable ? ErrorCode::NotRun : ErrorCode::HomeUnreachable, "the target could not be reached before the request was sent", "retry");
    return makeFailure(FailureKind::BrokenAfterSend, ErrorCode::OutcomeUnknown, "the connection to the target broke after the request was sent", "find out whether the call ran before you send it again");
}

RoutingError quarantineError(const QuarantineFinding& finding)
{
    if (finding.state == QuarantineState::Quarantined)
        return { ErrorCode::Quarantined, "the request crashed two targets and is not run for now", "change the request; the quarantine ends after ten minutes", Outcome::NotRun, QuarantineTable::retention };
    auto wait = std::chrono::ceil<std::chrono::milliseconds>(finding.pendingFor);
    return { ErrorCode::QuarantinePending, "the request ran on two targets that crashed, and reports of other routers are awaited", "retry after retryAfterMs", Outcome::NotRun, wait };
}

RoutingError deadlineError(std::string message)
{
    return { ErrorCode::DeadlineExceeded, std::move(message), "send a longer X-Deadline-Ms or retry", Outcome::NotRun, retryAdvice };
}

RoutingError noTargetError(const LiveRequest& request, std::string_view reason)
{
    auto code = request.repeatable ? ErrorCode::NoTarget : ErrorCode::HomeUnreachable;
    return { code, "no target of " + request.destination + " can take the request: " + std::string(reason), "retry later; operators find the state of targets with lavenderloft status", Outcome::NotRun, retryAdvice };
}

Base::Duration pauseAfter(const Refusal& refusal)
{
    // Says nothing about requests for other adapters or for the base model.
    if (refusal.kind == RefusalKind::AdapterNotLoaded)
        return {};
    if (refusal.kind == RefusalKind::AtLimit)
        return std::max<Base::Duration>(refusal.retryAfter, loadPause);
    return std::max<Base::Duration>(refusal.retryAfter, unreadyPause);
}

} // namespace Lavenderloft::Routing::Queries
