#pragma once

#include "Placement/Queries/NextAdapterOrder.h"

namespace Lavenderloft::Placement::Commands {

// Records that an adapter order was executed.
void recordAdapterOrderExecuted(ReplicaRecord&, const Queries::AdapterOrder&, const Queries::AdapterObservation&);

// Records that an adapter order was refused or not delivered. The adapter is retried later; the replica
// continues to serve.
void recordAdapterOrderFailed(ReplicaRecord&, const Queries::AdapterOrder&, const std::string& reason, Base::TimePoint now);

} // namespace Lavenderloft::Placement::Commands
