#pragma once

#include "Routing/RoutingError.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing::Queries {

// What a caller is told when an agent's refusal is final.
ErrorCode refusalCode(RefusalKind);
std::string refusalRemedy(RefusalKind);

// What a refusal says of the call as its caller knows it. The attempt was not run, but an earlier one
// under the same key may have been, unless the key was made for this request.
Outcome refusalOutcome(RefusalKind, bool keyFromCaller);

} // namespace Lavenderloft::Routing::Queries
