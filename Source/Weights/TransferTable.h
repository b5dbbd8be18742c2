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
    // The bytes of the manifest, served to other agents.
    std::shared_ptr<const std::string> document;
    ChunkBitmap held;
    unsigned heldCount = 0;
    Base::TimePoint phaseSince;
    // When the last chunk arrived.
    Base::TimePoint progressAt;
    // Why the transfer is delayed or failed; empty while it makes progress.
    std::string reason;
};

// A manifest that is no longer wanted. Its chunks are kept until the manifests that replace it have arrived, so that
// chunks they share are not fetched again.
struct RetiredManifest {
    std::shared_ptr<const Manifest> manifest;
    Base::TimePoint since;
};

// Transfers, keyed by manifest digest. Modified by Commands/TransferCommands.h, read by
// Queries/TransferQueries.h.
struct TransferTable {
    Base::ShardedMap<std::string, Transfer> transfers;
    Base::ShardedMap<std::string, RetiredManifest, 1> retired;
};

} // namespace Lavenderloft::Weights
