#include "Routing/Queries/ReadResolution.h"

namespace Lavenderloft::Routing::Queries {

bool isAnswered(const Resolution& resolution)
{
    return resolution.agentIncarnation != 0;
}

bool isFromSameAgent(const Resolution& resolution, const Permit& permit)
{
    return resolution.agentIncarnation == permit.agentIncarnation;
}

AttemptOutcome outcomeOf(const Resolution& resolution, const Permit& permit)
{
    return isFromSameAgent(resolution, permit) ? resolution.outcome : AttemptOutcome::Unknown;
}

AttemptFailure revokedFailure()
{
    return { FailureKind::NotRun, { ErrorCode::NotRun, "the connection to the target was lost and the permit was revoked", "retry", Outcome::NotRun, defaultRetryAfter } };
}

RoutingError resolvedError(AttemptOutcome outcome, const LiveRequest& request)
{
    RoutingError error { ErrorCode::OutcomeUnknown, "the connection to the target was lost after the request was sent", "check whether the call took effect, or send it again with Idempotency-Key: " + request.key, Outcome::Unknown, defaultRetryAfter };
    if (outcome == AttemptOutcome::Complete)
        error.outcome = Outcome::Complete;
    return error;
}

} // namespace Lavenderloft::Routing::Queries
