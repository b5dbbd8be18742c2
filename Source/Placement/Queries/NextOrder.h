#pragma once

#include "Placement/EngineClient.h"
#include "Placement/ReplicaRecord.h"
#include "Weights/WeightProvider.h"

#include <optional>
#include <string>

namespace Lavenderloft::Placement::Queries {

// What the decision on the next order looks at, beside the record.
struct Observation {
    Base::TimePoint now;
    // Nothing when the engine does not answer.
    std::optional<EngineStatus> engine;
    // Weights to serve by the document in force; nothing if this VM is to serve none.
    std::optional<DesiredReplica> desired;
    Weights::TransferProgress progress;
    // Permits and requests at the target.
    unsigned running = 0;
    bool maySwitch = false;
    bool claimStands = false;
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
    // The claim is settled; no permits from here on.
    BeginUpload,
    SendManifest,
    SendChunk,
    SendLoad,
    Confirm,
    // Start over: the engine lost the weights or the chunks sent.
    Repair,
    Fail,
    Retry,
};

struct Order {
    OrderKind kind = OrderKind::None;
    // Index of the chunk to send.
    unsigned chunk = 0;
    std::string reason;
};

// The next step that brings the actual state nearer to the desired one.
Order nextOrder(const ReplicaRecord&, const Observation&);

// A fencing token above all that the engine has seen, although nothing is stored across restarts.
uint64_t nextFence(const ReplicaRecord&, const EngineStatus&, Base::WallTime);

} // namespace Lavenderloft::Placement::Queries
