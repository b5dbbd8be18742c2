#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Weights/Manifest.h"
#include "Weights/PeerClient.h"
#include "Weights/TransferLifeCycle.h"

namespace Lavenderloft::Weights {

// The transfer of one manifest to this VM.
struct Transfer {
    unsigned priority = 0;
    TransferLifeCycle lifeCycle;
    // Null until the manifest has arrived.
    std::shared_ptr<const Manifest> manifest;
    // The manifest's own bytes, for other agents.
    std::shared_ptr<const std::string> document;
    ChunkBitmap held;
    unsigned heldCount = 0;
    Base::TimePoint phaseSince;
    // When the last chunk arrived.
    Base::TimePoint progressAt;
    // Why the transfer is late or failed; empty if it goes on.
    std::string reason;
};

// A manifest that is no longer wanted and whose chunks are kept until the manifests that replace it are known, so that
// shared chunks are not fetched again.
struct RetiredManifest {
    std::shared_ptr<const Manifest> manifest;
    Base::TimePoint since;
};

// Transfers by the digest of their manifest. Commands/TransferCommands.h changes it,
// Queries/TransferQueries.h reads it.
struct TransferTable {
    Base::ShardedMap<std::string, Transfer> transfers;
    Base::ShardedMap<std::string, RetiredManifest, 1> retired;
};

} // namespace Lavenderloft::Weights
