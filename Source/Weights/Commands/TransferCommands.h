#pragma once

#include "Weights/ChunkStore.h"
#include "Weights/TransferTable.h"

namespace Lavenderloft::Weights::Commands {

// Starts a transfer, or updates the priority of an existing one.
void beginTransfer(TransferTable&, const std::string& manifestDigest, unsigned priority, Base::TimePoint);

// Restarts failed transfers, because memory may have become free.
void restartFailedTransfers(TransferTable&, Base::TimePoint);

// Stops and removes a transfer. Its chunks stay in memory until releaseRetired().
void withdrawTransfer(TransferTable&, const std::string& manifestDigest, Base::TimePoint);

// Frees the chunks of withdrawn manifests that no wanted manifest contains. While a wanted manifest has not arrived,
// only chunks of manifests withdrawn before the given time are freed.
void releaseRetired(TransferTable&, ChunkStore&, Base::TimePoint withdrawnBefore);

// Verifies and stores a manifest and reserves memory for its chunks. A manifest that is malformed or exceeds the memory
// budget fails the transfer; a digest mismatch leaves the transfer unchanged.
Base::Result<Base::Done, WeightError> acceptManifest(TransferTable&, ChunkStore&, const std::string& manifestDigest, std::string document, Base::TimePoint);

// Verifies and stores a chunk and marks it held in every transfer that needs it.
Base::Result<Base::Done, WeightError> acceptChunk(TransferTable&, ChunkStore&, const std::string& chunkDigest, std::string bytes, Base::TimePoint);

// Records why a transfer is delayed; an empty reason clears it.
void setDelayReason(TransferTable&, const std::string& manifestDigest, const std::string& reason);

} // namespace Lavenderloft::Weights::Commands
