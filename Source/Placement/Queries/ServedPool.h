#pragma once

#include "Placement/EngineClient.h"
#include "Placement/Queries/NextAdapterOrder.h"
#include "Placement/Queries/NextOrder.h"
#include "Placement/ReplicaRecord.h"

#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// The weights that the engine serves. All empty if it serves none, or weights of an unknown pool.
struct ServedWeights {
    std::string pool;
    std::string digest;
    // Adapters that the engine lists and the document in force declares, sorted.
    std::vector<std::string> adapters;

    bool operator==(const ServedWeights&) const = default;
};

ServedWeights servedPool(const ReplicaRecord&, const std::optional<EngineStatus>&);

// Whether no permits may be granted because the engine is about to load other weights, or may be.
bool isSwitching(const ReplicaRecord&);

// The replicas to report: the weights being served and those to be served. The reported reason is that of the
// base model or, if it has none, of an adapter.
std::vector<Membership::Replica> reportedReplicas(const ReplicaRecord&, const ServedWeights&, const Weights::TransferProgress&, const std::vector<DeclaredAdapter>&);

} // namespace Lavenderloft::Placement::Queries
