#pragma once

#include "Weights/ChunkStore.h"
#include "Weights/Manifest.h"

namespace Lavenderloft::Weights::Commands {

// Reserves memory for every chunk of the manifest that no other manifest has reserved yet.
// Fails with MemoryBudgetExceeded, and reserves nothing, if the budget does not suffice.
Base::Result<Base::Done, WeightError> retainManifest(ChunkStore&, const Manifest&);

// Frees the chunks that no other manifest needs.
void releaseManifest(ChunkStore&, const Manifest&);

// As releaseManifest, for the chunks that the successor does not share.
void releaseUnsharedChunks(ChunkStore&, const Manifest&, const Manifest& successor);

// Stores a chunk after a check of its SHA-256. Fails with WrongDigest, or with NotWanted if no manifest retains it.
Base::Result<Base::Done, WeightError> storeChunk(ChunkStore&, const std::string& digest, std::string bytes);

} // namespace Lavenderloft::Weights::Commands
