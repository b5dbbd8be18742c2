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

// Input of nextAdapterOrder() in addition to the record.
struct AdapterObservation {
    Base::TimePoint now;
    // Empty when the engine does not respond.
    std::optional<EngineStatus> engine;
    std::vector<DeclaredAdapter> declared;
    // Adapters in use by requests or permits at the target.
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
    // Cancel the operation: the adapter is no longer wanted or held, or the engine lost its chunks.
    Abandon,
    // The engine did not execute the order; it is retried later.
    Fail,
};

struct AdapterOrder {
    AdapterOrderKind kind = AdapterOrderKind::None;
    std::string digest;
    // Index of the chunk to send.
    unsigned chunk = 0;
    std::string reason;
};

// Returns the next order that moves the engine's adapters towards the declared ones. Returns none while the base
// model is being fetched or loaded, because loading it drops all adapters.
AdapterOrder nextAdapterOrder(const ReplicaRecord&, const AdapterObservation&);

// Whether the engine lists an adapter that is not declared. Only then is AdapterObservation::inUse needed.
bool hasSurplusAdapter(const EngineStatus&, const std::vector<DeclaredAdapter>&);

} // namespace Lavenderloft::Placement::Queries
