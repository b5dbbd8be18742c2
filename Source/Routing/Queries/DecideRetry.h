#pragma once

#include "DesiredState/Document.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// Attempts for one request, refusals included.
inline constexpr unsigned maximumAttempts = 8;

// Attempts for one request that broke, so that a target that can't be reached doesn't use up the budget.
inline constexpr unsigned maximumBreaks = 3;

// Refusals for load after which further attempts are paid from the retry budget.
inline constexpr unsigned freeLoadRefusals = 2;

// Times that one answer is resumed after a break, so that a request that breaks every target it runs on does not
// go round the whole pool.
inline constexpr unsigned maximumResumes = 3;

// How an attempt failed, as far as retries are concerned.
enum class FailureKind {
    // Refused because the target has no free slot.
    RefusedForLoad,
    // Refused for another reason that another target may not have.
    RefusedElsewhere,
    // Refused for a reason that holds at every target.
    RefusedForGood,
    // Known not to have run: the body was not sent, the permit was revoked, or the target says so.
    NotRun,
    // The stream broke after the body was sent.
    BrokenAfterSend,
    // The target itself does not know the outcome, or sent an answer that cannot be used.
    Failed,
};

struct RetryFacts {
    FailureKind failure = FailureKind::Failed;
    bool repeatable = false;
    // Whether a byte of the answer has gone to the caller.
    bool answerStarted = false;
    // Whether another target can continue the answer.
    bool isResumable = false;
    // Times that the answer was resumed.
    unsigned resumes = 0;
    // Whether an earlier attempt of the request may have run.
    bool mayHaveRun = false;
    unsigned attempts = 0;
    // Attempts that broke, this one included.
    unsigned breaks = 0;
    unsigned loadRefusals = 0;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
};

enum class RetryVerdict {
    RetryFree,
    RetryFromBudget,
    // Ask again after a pause, because a part of the answer has gone to the caller.
    AwaitTarget,
    // Ask the agent what became of the attempt.
    Resolve,
    FailNotRun,
    FailUnknown,
    // Close the answer so that it cannot be taken for whole.
    Cut,
};

// Retries only what certainly did not run, or what may be repeated and of which the caller has seen nothing or
// the rest can be had.
RetryVerdict decideRetry(const RetryFacts&);

// The kind of failure that a refusal is.
FailureKind classifyRefusal(const Refusal&);

} // namespace Lavenderloft::Routing::Queries
