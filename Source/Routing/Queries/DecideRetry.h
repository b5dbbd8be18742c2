#pragma once

#include "DesiredState/Document.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// Maximum number of attempts for a request, including refused ones.
inline constexpr unsigned maximumAttempts = 8;

// Maximum number of broken attempts for a request, so that unreachable targets do not exhaust the retry budget.
inline constexpr unsigned maximumBrokenAttempts = 3;

// Number of load refusals after which further attempts are charged to the retry budget.
inline constexpr unsigned freeLoadRefusals = 2;

// Maximum number of times that a response is resumed, so that a request which crashes its targets does not
// reach every target of the pool.
inline constexpr unsigned maximumResumes = 3;

// Classifies failures by how they may be retried.
enum class FailureKind {
    // Refused because the target is at its limit.
    RefusedForLoad,
    // Refused for another reason that may not apply to other targets.
    RefusedByTarget,
    // Refused for a reason that applies to every target.
    RefusedPermanently,
    // Certainly not run: the body was not sent, the permit was revoked, or the agent reported it.
    NotRun,
    // The stream broke after the body was sent.
    DisconnectedAfterSend,
    // The agent does not know the outcome, or the response was invalid.
    Failed,
};

struct RetryInput {
    FailureKind failure = FailureKind::Failed;
    bool repeatable = false;
    // Whether a part of the response was sent to the caller.
    bool responseStarted = false;
    // Whether another target can continue the response.
    bool isResumable = false;
    // Number of times that the response was resumed.
    unsigned resumes = 0;
    // Number of attempts that may have run the request and sent no complete response, including the current one.
    unsigned interruptedRuns = 0;
    // Whether an earlier attempt of the request may have run.
    bool mayHaveRun = false;
    unsigned attempts = 0;
    // Includes the current attempt.
    unsigned brokenAttempts = 0;
    unsigned loadRefusals = 0;
    DesiredState::PriorityClass priorityClass = DesiredState::PriorityClass::Interactive;
};

enum class RetryDecision {
    RetryUncharged,
    RetryCharged,
    // Retry after a delay, because the request was interrupted and can't be refused as not run.
    WaitForTarget,
    // Ask the agent for the outcome of the attempt.
    ResolveOutcome,
    FailNotRun,
    FailUnknown,
    // End the response as incomplete.
    AbortResponse,
};

// A request is retried only if it certainly did not run, or if it may be repeated and either no part of the
// response was sent to the caller or the response can be resumed.
RetryDecision decideRetry(const RetryInput&);

FailureKind classifyRefusal(const Refusal&);

} // namespace Lavenderloft::Routing::Queries
