#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Staging/EngineStart.h"

namespace Lavenderloft::Staging::Commands {

// Records the EngineReport::startedAt of a report. An engine that restarted counts as cold from its first report,
// because its entry in the store follows later.
void recordEngineStart(EngineStart&, uint64_t startedAt, const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Commands
