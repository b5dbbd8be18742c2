#pragma once

#include "Placement/Queries/NextAdapterOrder.h"

namespace Lavenderloft::Placement::Commands {

// Notes that an order for an adapter was carried out.
void noteAdapterDone(ReplicaRecord&, const Queries::AdapterOrder&, const Queries::AdapterObservation&);

// Notes that the engine refused or did not get an order; the adapter is tried again later, and the replica
// goes on serving.
void noteAdapterRefused(ReplicaRecord&, const Queries::AdapterOrder&, const std::string& reason, Base::TimePoint now);

} // namespace Lavenderloft::Placement::Commands
