#pragma once

#include "Placement/Queries/NextOrder.h"

namespace Lavenderloft::Placement::Queries {

// Whether the engine's status tells that the load order has had its effect or can no longer have one.
bool isSettled(const UnsettledLoad&, const EngineStatus&, Base::TimePoint now);

// Whether to send the engine an order without effect, whose newer fencing token voids a load order that may still arrive.
bool isVoidDue(const ReplicaRecord&, const Observation&);

} // namespace Lavenderloft::Placement::Queries
