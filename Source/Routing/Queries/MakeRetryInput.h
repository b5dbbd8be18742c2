#pragma once

#include "Routing/AttemptHistory.h"
#include "Routing/LiveRequest.h"
#include "Routing/Queries/DecideRetry.h"
#include "Routing/ResponseProgress.h"

namespace Lavenderloft::Routing::Queries {

// Collects what decideRetry needs. A request whose caller has disconnected is not repeated.
RetryInput makeRetryInput(FailureKind, const LiveRequest&, const AttemptHistory&, const ResponseProgress&, bool callerDisconnected);

} // namespace Lavenderloft::Routing::Queries
