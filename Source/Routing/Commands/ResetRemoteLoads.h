#pragma once

#include "Routing/TargetTable.h"

namespace Lavenderloft::Routing::Commands {

// Resets the reported loads, but not the limits, of targets in other data centres. Their loads are reported
// only in responses, not by gossip, so a target that was full at its last response would otherwise count as
// full until another request reaches it.
void resetRemoteLoads(TargetTable&);

} // namespace Lavenderloft::Routing::Commands
