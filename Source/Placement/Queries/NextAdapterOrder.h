#pragma once

#include "Placement/EngineClient.h"
#include "Placement/ReplicaRecord.h"
#include "Weights/WeightProvider.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Lavenderloft::Placement::Queries {

// An adapter that the document in force lists for the pool.
struct DeclaredAdapter {
    std::string digest;
    Weights::TransferProgress progress;
};

// What the decision on the next order for an adapter looks at, beside the record.
struct AdapterObservation {
    Base::TimePoint now;
    // Nothing when the engine does not answer.
    std::optional<EngineStatus> engine;
    std::vector<DeclaredAdapter> declared;
    // Adapters that requests or permits at the target use.
    std::set<std::string> inUse;
};

enum class AdapterOrderKind {
    // Nothing to do until something changes.
    None,
    SendManifest,
    SendChunk,
    SendLoad,
    SendUnload,
    // The engine's status shows the effect of the order.
    Confirm,
    // Start over: the adapter is no longer wanted or held, or the engine lost its chunks.
    Abandon,
    // The engine did not carry out the order; it is tried again later.
    Fail,
};

struct AdapterOrder {
    AdapterOrderKind kind = AdapterOrderKind::None;
    std::string digest;
    // Index of the chunk to send.
    unsigned chunk = 0;
    std::string reason;
};

// The next step that brings the engine's adapters nearer to the declared ones. Nothing is done while the base
// model is being fetched or loaded: loading it drops all adapters.
AdapterOrder nextAdapterOrder(const ReplicaRecord&, const AdapterObservation&);

// Whether the engine lists an adapter that is not declared, so that its use has to be looked at.
bool hasSurplusAdapter(const EngineStatus&, const std::vector<DeclaredAdapter>&);

} // namespace Lavenderloft::Placement::Queries
