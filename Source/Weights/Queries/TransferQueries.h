#pragma once

#include "Weights/TransferTable.h"
#include "Weights/WeightProvider.h"

#include <vector>

namespace Lavenderloft::Weights::Queries {

// A copy of a transfer's state, as input for scheduling.
struct TransferSnapshot {
    std::string digest;
    unsigned priority = 0;
    TransferPhase phase = TransferPhase::FetchingManifest;
    std::shared_ptr<const Manifest> manifest;
    ChunkBitmap held;
    Base::TimePoint phaseSince;
    Base::TimePoint progressAt;
};

// Digests of all wanted manifests.
std::vector<std::string> transferDigests(const TransferTable&);

// All transfers, the highest priority first.
std::vector<TransferSnapshot> snapshotTransfers(const TransferTable&);

// Whether a wanted manifest has not arrived yet.
bool hasPendingManifest(const TransferTable&);

// Null until the manifest has arrived.
std::shared_ptr<const Manifest> manifestOf(const TransferTable&, const std::string& manifestDigest);

// The manifest's bytes; null until they have arrived.
std::shared_ptr<const std::string> documentOf(const TransferTable&, const std::string& manifestDigest);

// Which chunks are held; empty if the manifest is unknown.
ChunkBitmap heldChunks(const TransferTable&, const std::string& manifestDigest);

TransferProgress transferProgress(const TransferTable&, const std::string& manifestDigest);

} // namespace Lavenderloft::Weights::Queries
