#pragma once

#include "Base/ShardedMap.h"
#include "Standin/SyntheticModel.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace Lavenderloft::Standin {

// Model and index from which a chunk is generated.
struct ChunkLocation {
    std::shared_ptr<const SyntheticModel> model;
    size_t index = 0;
};

struct ChunkCounters {
    uint64_t requests = 0;
    // Bytes sent, including those of broken responses.
    uint64_t bytes = 0;
};

struct WeightStoreCounters {
    uint64_t manifestRequests = 0;
    uint64_t chunkRequests = 0;
    uint64_t chunkBytes = 0;
    // By chunk digest.
    std::map<std::string, ChunkCounters> chunks;
};

// State of the weight store, sharded by digest.
struct WeightStoreState {
    Base::ShardedMap<std::string, std::shared_ptr<const SyntheticModel>> models;
    Base::ShardedMap<std::string, ChunkLocation> chunkLocations;
    Base::ShardedMap<std::string, ChunkCounters> counters;
    // Remaining number of corrupted responses for a chunk.
    Base::ShardedMap<std::string, unsigned> corruptions;
    std::atomic<uint64_t> manifestRequests { 0 };
    std::atomic<bool> down { false };
    std::atomic<bool> stalled { false };
};

} // namespace Lavenderloft::Standin
