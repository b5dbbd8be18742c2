#pragma once

#include <atomic>
#include <cstdint>

namespace Lavenderloft::Weights {

// Totals since the start of the process, for metrics and benchmarks.
struct WeightCounters {
    // Bytes received, refused ones included, by source.
    std::atomic<uint64_t> originBytes { 0 };
    std::atomic<uint64_t> peerBytes { 0 };
    std::atomic<uint64_t> remoteBytes { 0 };
    std::atomic<uint64_t> uploadedBytes { 0 };
    // Messages about holdings and manifests and requests for chunks, sent and received, without the chunks themselves.
    std::atomic<uint64_t> controlBytes { 0 };
    std::atomic<uint64_t> holdingsRequests { 0 };
    // Chunks asked of other agents, and those of them that were refused for want of an upload slot.
    std::atomic<uint64_t> chunkRequests { 0 };
    std::atomic<uint64_t> busyRefusals { 0 };
    std::atomic<uint64_t> corruptChunks { 0 };
    std::atomic<uint64_t> stalledDownloads { 0 };
    std::atomic<uint64_t> failedDownloads { 0 };
};

} // namespace Lavenderloft::Weights
