#pragma once

#include "Weights/ChunkStore.h"
#include "Weights/TransferTable.h"

namespace Lavenderloft::Weights::Commands {

// Begins a transfer, or sets the priority of one that has begun.
void beginTransfer(TransferTable&, const std::string& manifestDigest, unsigned priority, Base::TimePoint);

// Begins transfers anew that failed, because memory may have become free.
void restartFailedTransfers(TransferTable&, Base::TimePoint);

// Stops a transfer and forgets it. Its chunks stay in memory until releaseRetired().
void withdrawTransfer(TransferTable&, const std::string& manifestDigest, Base::TimePoint);

// Frees the chunks of withdrawn manifests that no wanted manifest needs. While the bytes of a wanted manifest have not
// arrived, only those of manifests withdrawn before the given time are freed.
void releaseRetired(TransferTable&, ChunkStore&, Base::TimePoint withdrawnBefore);

// Checks and takes the manifest's bytes and reserves the memory. A malformed manifest or one beyond the memory budget
// fails the transfer; bytes with another digest leave it as it was.
Base::Result<Base::Done, WeightError> acceptManifest(TransferTable&, ChunkStore&, const std::string& manifestDigest, std::string document, Base::TimePoint);

// Verifies and stores a chunk and marks it held in every transfer that needs it.
Base::Result<Base::Done, WeightError> acceptChunk(TransferTable&, ChunkStore&, const std::string& chunkDigest, std::string bytes, Base::TimePoint);

// Records why a transfer is late; an empty reason says that it goes on.
void setDelayReason(TransferTable&, const std::string& manifestDigest, const std::string& reason);

} // namespace Lavenderloft::Weights::Commands
