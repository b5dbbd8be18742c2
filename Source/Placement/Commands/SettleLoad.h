#pragma once

#include "Placement/Queries/NextOrder.h"

namespace Lavenderloft::Placement::Commands {

// Records that a load order of the wanted weights is about to be sent.
void recordLoadSent(ReplicaRecord&, const EngineStatus&, uint64_t fence, Base::TimePoint now);

// Records the engine's response to the last load order, or that there was none. A refused order has no effect; an accepted
// one has its effect when the status tells.
void recordLoadResult(ReplicaRecord&, const Base::Result<Base::Done, EngineError>&);

// Records a status of the engine, which may tell the effect of the last load order.
void recordEngineStatus(ReplicaRecord&, const EngineStatus&, Base::TimePoint now);

// Records an attempt to void the last load order.
void recordVoidSent(ReplicaRecord&, Base::TimePoint now);

} // namespace Lavenderloft::Placement::Commands
