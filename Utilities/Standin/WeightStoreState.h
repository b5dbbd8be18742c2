#pragma once

#include "Base/ShardedMap.h"
#include "Standin/SyntheticModel.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Lavenderloft::Standin {

// Where the bytes of a chunk come from.
struct ChunkLocation {
    std::shared_ptr<const SyntheticModel> model;
    size_t index = 0;
};

struct ChunkCounters {
    uint64_t requests = 0;
    // Bytes sent, parts of broken responses included.
    uint64_t bytes = 0;
};

struct WeightStoreCounters {
    uint64_t manifestRequests = 0;
    uint64_t chunkRequests = 0;
    uint64_t chunkBytes = 0;
    // By digest of the chunk.
    std::map<std::string, ChunkCounters> chunks;
};

// What the weight store holds, sharded by digest.
struct WeightStoreState {
    Base::ShardedMap<std::string, std::shared_ptr<const SyntheticModel>> models;
    Base::ShardedMap<std::string, ChunkLocation> chunkLocations;
    Base::ShardedMap<std::string, ChunkCounters> counters;
    // Number of times that a chunk is still to be served corrupted.
    Base::ShardedMap<std::string, unsigned> corruptions;
    std::atomic<uint64_t> manifestRequests { 0 };
    std::atomic<bool> down { false };
    std::atomic<bool> stalled { false };
};

} // namespace Lavenderloft::Standin
