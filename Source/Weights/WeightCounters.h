#pragma once

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Weights {

// Counters since the start of the process, for metrics and benchmarks.
struct WeightCounters {
    // Bytes received by source, including those of rejected chunks.
    std::atomic<uint64_t> originBytes { 0 };
    std::atomic<uint64_t> peerBytes { 0 };
    std::atomic<uint64_t> remoteBytes { 0 };
    std::atomic<uint64_t> uploadedBytes { 0 };
    // Bytes of holdings, manifest and chunk requests and responses, sent and received, without chunk data.
    std::atomic<uint64_t> controlBytes { 0 };
    std::atomic<uint64_t> holdingsRequests { 0 };
    // Chunk requests to other agents, and those refused because no upload slot was free.
    std::atomic<uint64_t> chunkRequests { 0 };
    std::atomic<uint64_t> busyRefusals { 0 };
    std::atomic<uint64_t> corruptChunks { 0 };
    std::atomic<uint64_t> stalledDownloads { 0 };
    std::atomic<uint64_t> failedDownloads { 0 };
};

} // namespace Lavenderloft::Weights
