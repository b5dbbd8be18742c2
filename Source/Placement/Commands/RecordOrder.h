#pragma once

#include "DesiredState/Document.h"
#include "Placement/Queries/NextOrder.h"

namespace Lavenderloft::Placement::Commands {

// Debounces the assignment: returns a new one only after it has been stable for assignmentSettleTime. A new version
// of the same pool takes effect immediately.
std::optional<DesiredReplica> debounceAssignment(ReplicaRecord&, const std::optional<DesiredReplica>&, Base::TimePoint now);

// Records the pool of each model version and the adapters of each pool.
void recordDocument(ReplicaRecord&, const DesiredState::Document&);

// Records that an order was executed.
void recordOrderExecuted(ReplicaRecord&, const Queries::Order&, const Queries::Observation&);

// Records that an order was refused or not delivered. The replica is retried later.
void recordOrderFailed(ReplicaRecord&, const std::string& reason, Base::TimePoint now);

// Abandons the operations in progress after the process was paused.
void dropOrders(ReplicaRecord&);

} // namespace Lavenderloft::Placement::Commands
