#include "Routing/Queries/DecideRetry.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    RetryVerdict failure(const RetryFacts& facts)
    {
        return facts.mayHaveRun ? RetryVerdict::FailUnknown : RetryVerdict::FailNotRun;
    }

    bool isRefusalFree(const RetryFacts& facts)
    {
        // Refusals for other reasons than load cost once for each target, which is then left alone for a
        // while; hazard messages come before the protection against retries.
        return facts.failure == FailureKind::RefusedElsewhere || facts.loadRefusals < freeLoadRefusals
            || facts.priorityClass == DesiredState::PriorityClass::Hazard;
    }

    RetryVerdict decideResume(const RetryFacts& facts)
    {
        if (!facts.repeatable || !facts.isResumable)
            return RetryVerdict::Cut;
        switch (facts.failure) {
        case FailureKind::RefusedForGood:
            return RetryVerdict::Cut;
        case FailureKind::RefusedForLoad:
        case FailureKind::RefusedElsewhere:
            return isRefusalFree(facts) && facts.attempts < maximumAttempts ? RetryVerdict::RetryFree : RetryVerdict::AwaitTarget;
        case FailureKind::NotRun:
            // The resume is paid for; a target that cannot be reached must not use up those that are left.
            return RetryVerdict::AwaitTarget;
        case FailureKind::BrokenAfterSend:
        case FailureKind::Failed:
            return facts.resumes < maximumResumes ? RetryVerdict::RetryFromBudget : RetryVerdict::Cut;
        }
        return RetryVerdict::Cut;
    }

} // namespace

RetryVerdict decideRetry(const RetryFacts& facts)
{
    if (facts.answerStarted)
        return decideResume(facts);
    bool exhausted = facts.attempts >= maximumAttempts || facts.breaks >= maximumBreaks;
    switch (facts.failure) {
    case FailureKind::RefusedForGood:
        return failure(facts);
    case FailureKind::RefusedForLoad:
    case FailureKind::RefusedElsewhere:
        // A call that may not be repeated has one home and no other target to go to.
        if (!facts.repeatable || exhausted)
            return failure(facts);
        return isRefusalFree(facts) ? RetryVerdict::RetryFree : RetryVerdict::RetryFromBudget;
    case FailureKind::NotRun:
        return exhausted ? failure(facts) : RetryVerdict::RetryFromBudget;
    case FailureKind::BrokenAfterSend:
        if (!facts.repeatable)
            return RetryVerdict::Resolve;
        return exhausted ? RetryVerdict::FailUnknown : RetryVerdict::RetryFromBudget;
    case FailureKind::Failed:
        return facts.repeatable && !exhausted ? RetryVerdict::RetryFromBudget : RetryVerdict::FailUnknown;
    }
    return RetryVerdict::FailUnknown;
}

FailureKind classifyRefusal(const Refusal& refusal)
{
    switch (refusal.kind) {
    case RefusalKind::AtLimit:
        return FailureKind::RefusedForLoad;
    case RefusalKind::PermitExpired:
        return FailureKind::NotRun;
    default:
        return refusal.retryElsewhere ? FailureKind::RefusedElsewhere : FailureKind::RefusedForGood;
    }
}

} // namespace Lavenderloft::Routing::Queries
