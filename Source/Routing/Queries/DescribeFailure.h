#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/LiveRequest.h"
#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Queries {

// The failure that a refusal is. A key that the caller sent may have been used before.
AttemptFailure refusalFailure(const Refusal&, bool keyFromCaller);

// The failure of an answer that the target did not complete.
AttemptFailure incompleteAnswer(const ResponseEnd&);

// The failure of an answer that cannot be the right one.
AttemptFailure unusableAnswer(std::string message);

// The failure of a stream that broke before or after the request was sent.
AttemptFailure brokenStream(bool isSent, bool isRepeatable);

// The error of a request that is quarantined, or held until the reports on its crashes are complete.
RoutingError quarantineError(const QuarantineFinding&);

// The error of a request whose deadline has passed.
RoutingError deadlineError(std::string message);

// The error of a request for which no target was found, for the reason given.
RoutingError noTargetError(const LiveRequest&, std::string_view reason);

// How long a target that refused is better left alone.
Base::Duration pauseAfter(const Refusal&);

} // namespace Lavenderloft::Routing::Queries
