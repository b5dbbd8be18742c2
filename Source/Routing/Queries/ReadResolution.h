#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/LiveRequest.h"
#include "Routing/RoutingError.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// Whether an agent has answered the question for the outcome.
bool isAnswered(const Resolution&);

// Whether the resolution comes from the agent that granted the permit. An agent that has restarted has no record of the
// attempt.
bool isFromSameAgent(const Resolution&, const Permit&);

// The outcome of the attempt, which is unknown unless the agent that granted the permit reports it.
AttemptOutcome outcomeOf(const Resolution&, const Permit&);

// An attempt whose permit was revoked before the request arrived.
AttemptFailure revokedFailure();

// The error of a request whose attempt has run or may have run.
RoutingError resolvedError(AttemptOutcome, const LiveRequest&);

} // namespace Lavenderloft::Routing::Queries
