#pragma once

#include "Base/ShardedMap.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

namespace Lavenderloft::Weights {

// The bytes of a chunk; uploads in progress keep them alive after the chunk is released.
using ChunkBytes = std::shared_ptr<const std::string>;

// A chunk that at least one wanted manifest needs.
struct StoredChunk {
    // Null until the chunk has arrived and its digest has been verified.
    ChunkBytes bytes;
    uint64_t size = 0;
    // Digests of the manifests that contain it.
    std::unordered_set<std::string> manifests;
};

// Chunks in memory, keyed by SHA-256. Memory is reserved for a whole manifest before its first chunk is
// stored, so that a transfer cannot run out of memory part way. Modified by Commands/ChunkCommands.h, read by
// Queries/ChunkQueries.h.
struct ChunkStore {
    explicit ChunkStore(uint64_t budget)
        : budgetBytes(budget)
    {
    }

    const uint64_t budgetBytes;
    std::atomic<uint64_t> reservedBytes { 0 };
    Base::ShardedMap<std::string, StoredChunk> chunks;
};

} // namespace Lavenderloft::Weights
