#pragma once

#include "Routing/RoutingError.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// Error code and remedy for a refusal that is returned to the caller.
ErrorCode refusalCode(RefusalKind);
std::string refusalRemedy(RefusalKind);

// Outcome of the call as seen by the caller. The refused attempt did not run, but an earlier one with the same
// key may have run, unless the router generated the key for this request.
Outcome refusalOutcome(RefusalKind, bool keyFromCaller);

} // namespace Lavenderloft::Routing::Queries
