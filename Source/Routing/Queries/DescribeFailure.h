#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/LiveRequest.h"
#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Queries {

// A refused attempt. A key sent by the caller may have been used before.
AttemptFailure refusalFailure(const Refusal&, bool keyFromCaller);

// A response that the target did not complete.
AttemptFailure incompleteResponseFailure(const ResponseEnd&);

// A response that is not the one requested.
AttemptFailure invalidResponseFailure(std::string message);

// A stream that broke before or after the request was sent.
AttemptFailure connectionFailure(bool isSent, bool isRepeatable);

// A request for which the router has no memory left.
RoutingError requestBudgetError();

// A request whose attempt failed when the retry budget was exhausted.
RoutingError deniedRetryError(const AttemptFailure&);

// A request that is quarantined or whose quarantine is pending.
RoutingError quarantineError(const QuarantineStatus&);

// A request whose deadline has passed.
RoutingError deadlineError(std::string message);

// A request for which no target was selected.
// The error of a request that is open when the router's time to drain ends.
RoutingError stoppedError(bool mayHaveRun);

RoutingError noTargetError(const LiveRequest&, std::string_view reason);

// Backoff of a target after the refusal.
Base::Duration backoffAfter(const Refusal&);

} // namespace Lavenderloft::Routing::Queries
