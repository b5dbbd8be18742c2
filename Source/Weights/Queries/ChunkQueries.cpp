#include "Weights/Queries/ChunkQueries.h"

namespace Lavenderloft::Weights::Queries {

ChunkBytes findChunk(const ChunkStore& store, const std::string& digest)
{
    auto chunk = store.chunks.find(digest);
    return chunk ? chunk->bytes : nullptr;
}

uint64_t heldBytes(const ChunkStore& store)
{
    uint64_t total = 0;
    store.chunks.forEach([&](auto&, const StoredChunk& chunk) { total += chunk.bytes ? chunk.size : 0; });
    return total;
}

} // namespace Lavenderloft::Weights::Queries
