#pragma once

#include "Weights/ChunkStore.h"

namespace Lavenderloft::Weights::Queries {

// The verified bytes of a chunk; null if it is not held.
ChunkBytes findChunk(const ChunkStore&, const std::string& digest);

// Total size of the chunks held.
uint64_t heldBytes(const ChunkStore&);

} // namespace Lavenderloft::Weights::Queries
