#pragma once

#include "Routing/TargetTable.h"

namespace Lavenderloft::Routing::Commands {

// Drops the loads that targets of other data centres have reported, but for their limits. Gossip brings no
// load from there, only answers do, so that a target that was full at its last answer would count as full
// until the next request happens to reach it.
void resetRemoteLoads(TargetTable&);

} // namespace Lavenderloft::Routing::Commands
