#include "Routing/Queries/MakeRetryInput.h"

#include "Routing/Queries/FindResumePoint.h"

namespace Lavenderloft::Routing::Queries {

RetryInput makeRetryInput(FailureKind failure, const LiveRequest& request, const AttemptHistory& history, const ResponseProgress& response, bool callerDisconnected)
{
    RetryInput input;
    input.failure = failure;
    input.repeatable = request.repeatable && !callerDisconnected;
    input.responseStarted = response.isStarted;
    input.isResumable = findResumePoint(request, response.head, response.position).has_value();
    input.resumes = history.resumes;
    input.interruptedRuns = history.interruptedRuns;
    input.mayHaveRun = history.mayHaveRun;
    input.attempts = history.round.attempts;
    input.brokenAttempts = history.round.brokenAttempts;
    input.loadRefusals = history.round.loadRefusals;
    input.priorityClass = request.priorityClass;
    return input;
}

} // namespace Lavenderloft::Routing::Queries
