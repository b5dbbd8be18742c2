#include "Routing/Queries/DecideRetry.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    RetryDecision failure(const RetryInput& input)
    {
        return input.mayHaveRun ? RetryDecision::FailUnknown : RetryDecision::FailNotRun;
    }

    bool isUncharged(const RetryInput& input)
    {
        // A refusal for a reason other than load occurs once per target, since the target is then in backoff for
        // a time. Hazard messages take precedence over the limit on retries.
        return input.failure == FailureKind::RefusedByTarget || input.loadRefusals < freeLoadRefusals
            || input.priorityClass == DesiredState::PriorityClass::Hazard;
    }

    // Another target can still run the request. The retry after the interruption has already been charged; a target that
    // refuses it or is unreachable must not consume another one.
    RetryDecision decideNextTarget(const RetryInput& input)
    {
        bool isRefusal = input.failure == FailureKind::RefusedForLoad || input.failure == FailureKind::RefusedByTarget;
        return isRefusal && isUncharged(input) && input.attempts < maximumAttempts ? RetryDecision::RetryUncharged : RetryDecision::WaitForTarget;
    }

    RetryDecision decideResume(const RetryInput& input)
    {
        if (!input.repeatable || !input.isResumable)
            return RetryDecision::AbortResponse;
        switch (input.failure) {
        case FailureKind::RefusedPermanently:
            return RetryDecision::AbortResponse;
        case FailureKind::RefusedForLoad:
        case FailureKind::RefusedByTarget:
        case FailureKind::NotRun:
            return decideNextTarget(input);
        case FailureKind::DisconnectedAfterSend:
        case FailureKind::Failed:
            return input.resumes < maximumResumes ? RetryDecision::RetryCharged : RetryDecision::AbortResponse;
        }
        return RetryDecision::AbortResponse;
    }

} // namespace

RetryDecision decideRetry(const RetryInput& input)
{
    if (input.responseStarted)
        return decideResume(input);
    bool isRun = input.failure == FailureKind::DisconnectedAfterSend || input.failure == FailureKind::Failed;
    // Rounds of attempts don't reset the number of runs, so that a request which breaks its targets does not reach all.
    bool exhaustedRuns = input.interruptedRuns >= maximumBrokenAttempts && input.priorityClass != DesiredState::PriorityClass::Hazard;
    bool exhausted = input.attempts >= maximumAttempts || input.brokenAttempts >= maximumBrokenAttempts || (isRun && exhaustedRuns);
    bool isInterrupted = input.mayHaveRun && input.repeatable;
    if (isInterrupted && !isRun && input.failure != FailureKind::RefusedPermanently)
        return decideNextTarget(input);
    switch (input.failure) {
    case FailureKind::RefusedPermanently:
        return failure(input);
    case FailureKind::RefusedForLoad:
    case FailureKind::RefusedByTarget:
        // A call that may not be repeated can run only at its home.
        if (!input.repeatable || exhausted)
            return failure(input);
        return isUncharged(input) ? RetryDecision::RetryUncharged : RetryDecision::RetryCharged;
    case FailureKind::NotRun:
        return exhausted ? failure(input) : RetryDecision::RetryCharged;
    case FailureKind::DisconnectedAfterSend:
        if (!input.repeatable)
            return RetryDecision::ResolveOutcome;
        return exhausted ? RetryDecision::FailUnknown : RetryDecision::RetryCharged;
    case FailureKind::Failed:
        return input.repeatable && !exhausted ? RetryDecision::RetryCharged : RetryDecision::FailUnknown;
    }
    return RetryDecision::FailUnknown;
}

FailureKind classifyRefusal(const Refusal& refusal)
{
    switch (refusal.kind) {
    case RefusalKind::AtLimit:
        return FailureKind::RefusedForLoad;
    case RefusalKind::PermitExpired:
        return FailureKind::NotRun;
    default:
        return refusal.retryElsewhere ? FailureKind::RefusedByTarget : FailureKind::RefusedPermanently;
    }
}

} // namespace Lavenderloft::Routing::Queries
