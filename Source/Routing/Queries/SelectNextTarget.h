#pragma once

#include "Routing/AttemptHistory.h"
#include "Routing/Queries/SelectTarget.h"
#include "Routing/ResponseProgress.h"

namespace Lavenderloft::Routing::Queries {

// Selects the target of the next attempt. If no other target is left, a target whose stream broke may be tried again,
// but not one that refused. A response that has started waits for another target instead, which must serve the weights
// of its first part.
Selection selectNextTarget(const TargetTable&, const LiveRequest&, const AttemptHistory&, const ResponseProgress&, const TargetPolicy&, Base::RandomSource&, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
