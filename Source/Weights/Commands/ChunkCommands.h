#pragma once

#include "Weights/ChunkStore.h"
#include "Weights/Manifest.h"

namespace Lavenderloft::Weights::Commands {

// Reserves memory for every chunk of the manifest that no other manifest has reserved yet.
// Fails with MemoryBudgetExceeded, and reserves nothing, if the budget would be exceeded.
Base::Result<Base::Done, WeightError> retainManifest(ChunkStore&, const Manifest&);

// Releases the manifest's chunks; those that no other manifest contains are freed.
void releaseManifest(ChunkStore&, const Manifest&);

// Like releaseManifest, but keeps the chunks that the successor also contains.
void releaseUnsharedChunks(ChunkStore&, const Manifest&, const Manifest& successor);

// Verifies the SHA-256 of a chunk and stores it. Fails with WrongDigest, or with NotWanted if no manifest retains it.
Base::Result<Base::Done, WeightError> storeChunk(ChunkStore&, const std::string& digest, std::string bytes);

} // namespace Lavenderloft::Weights::Commands
