#pragma once

#include "Placement/EngineClient.h"
#include "Placement/ReplicaRecord.h"
#include "Weights/WeightProvider.h"

#include <optional>
#include <string>

namespace Lavenderloft::Placement::Queries {

// Input of nextOrder() in addition to the record.
struct Observation {
    Base::TimePoint now;
    // Empty when the engine does not respond.
    std::optional<EngineStatus> engine;
    // Weights to serve according to the document in force; empty if this VM must serve none.
    std::optional<DesiredReplica> desired;
    Weights::TransferProgress progress;
    // Permits and requests at the target.
    unsigned running = 0;
    bool maySwitch = false;
    bool isClaimValid = false;
    // Whether a replica that is no longer wanted may stop serving.
    bool mayRelease = false;
};

enum class OrderKind {
    // Nothing to do until something changes.
    None,
    Adopt,
    Release,
    MarkFetched,
    Claim,
    Withdraw,
    // The claim is confirmed. No permits are granted from here on.
    BeginUpload,
    SendManifest,
    SendChunk,
    SendLoad,
    Confirm,
    // Start over, because the engine lost the weights or the chunks sent.
    Repair,
    Fail,
    Retry,
    // Void a load order whose effect is not known.
    VoidLoad,
};

struct Order {
    OrderKind kind = OrderKind::None;
    // Index of the chunk to send.
    unsigned chunk = 0;
    std::string reason;
};

// Returns the next order that moves the actual state towards the desired one.
Order nextOrder(const ReplicaRecord&, const Observation&);

// Returns a fencing token greater than any that the engine has seen. Based on the wall clock and the engine's highest
// token, because the agent stores nothing across restarts.
uint64_t nextFence(const ReplicaRecord&, const EngineStatus&, Base::WallTime);

} // namespace Lavenderloft::Placement::Queries
