#pragma once

#include "DesiredState/Document.h"
#include "Placement/Queries/NextOrder.h"

namespace Lavenderloft::Placement::Commands {

// Takes over the assignment of the document in force and returns it once it has stayed long enough. A new
// version of the pool in hand counts at once.
std::optional<DesiredReplica> settleAssignment(ReplicaRecord&, const std::optional<DesiredReplica>&, Base::TimePoint now);

// Notes which pool each model version belongs to, and the adapters of each pool.
void learnDocument(ReplicaRecord&, const DesiredState::Document&);

// Notes that an order was carried out.
void noteDone(ReplicaRecord&, const Queries::Order&, const Queries::Observation&);

// Notes that the engine refused or did not get an order; the replica is tried again later.
void noteRefused(ReplicaRecord&, const std::string& reason, Base::TimePoint now);

// Drops what is under way, after a pause of the process.
void dropOrders(ReplicaRecord&);

} // namespace Lavenderloft::Placement::Commands
