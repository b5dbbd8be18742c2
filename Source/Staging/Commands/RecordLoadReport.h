#pragma once

#include "Staging/EngineProtocol.h"
#include "Staging/LoadState.h"

namespace Lavenderloft::Staging::Commands {

// Records what a report says of the load requests that the engine has accepted. `polledAt` is when the report was
// requested. An engine that has accepted a request that is not pending, one of an earlier process for instance, is in
// doubt: what was stored when it accepted it is not known.
void recordLoadReport(LoadState&, const EngineReport&, Base::TimePoint polledAt);

} // namespace Lavenderloft::Staging::Commands
