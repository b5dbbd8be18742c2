#pragma once

#include "Placement/EngineClient.h"
#include "Placement/Queries/NextAdapterOrder.h"
#include "Placement/Queries/NextOrder.h"
#include "Placement/ReplicaRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// Weights that the engine serves for a pool; both empty while it serves none, or weights of no pool known.
struct Served {
    std::string pool;
    std::string digest;
    // Adapters that the engine lists and the document in force declares, in order.
    std::vector<std::string> adapters;

    bool operator==(const Served&) const = default;
};

Served servedPool(const ReplicaRecord&, const std::optional<EngineStatus>&);

// Whether permits must stop because the engine is about to load other weights.
bool isSwitching(const ReplicaRecord&);

// What the agent reports of its replicas: the weights it serves and those it is to serve. The reason is that
// of the base model or, if it has none, of an adapter.
std::vector<Membership::Replica> reportedReplicas(const ReplicaRecord&, const Served&, const Weights::TransferProgress&, const std::vector<DeclaredAdapter>&);

} // namespace Lavenderloft::Placement::Queries
