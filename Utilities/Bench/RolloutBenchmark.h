#pragma once

#include "Base/Result.h"
#include "Bench/RolloutFleet.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Lavenderloft::Bench {

enum class RolloutFault {
    None,
    // The replica that owns the most chunks in the store's region sends only damaged chunks.
    Corrupt,
    // The same replica announces chunks and sends nothing.
    Stall,
    // The same replica dies.
    Kill,
    // A second version replaces the first during the transfer; half of the chunks are shared.
    VersionChange,
    // The last region is cut off from the others and from the origin for a time.
    Partition,
};

struct RolloutOptions {
    unsigned replicas = 10;
    unsigned regions = 3;
    uint64_t seed = 1;
    RolloutFault fault = RolloutFault::None;
    // Time that one copy needs over a VM's link, which is the minimum for any number of replicas.
    std::chrono::milliseconds floor { 20000 };
    size_t chunkCount = 200;
    size_t chunkBytes = 40960;
    bool originOnly = false;
    // Ends a hang.
    std::chrono::milliseconds limit { 240000 };
};

// Largest fleet that one process carries with chunks of the default size. Beyond it the process, not the exchange of
// chunks, limits the rollout: at 200 replicas half of the questions for holdings, which no simulated link limits, took
// longer than 300 ms, and many longer than their deadline of a second.
inline constexpr unsigned maximumReplicasAtDefaultChunkSize = 100;

// The options with smaller chunks for more replicas than that, each sent in two messages instead of eight, and slower
// links, so that the floor stays. Ratios to the floor and to the model's size keep their meaning. A longer floor would not
// do: with few messages for a chunk, each would take as long as the stall limit.
RolloutOptions scaleChunkSize(RolloutOptions);

// What one rollout cost. A copy is the size of the model.
struct RolloutMeasurement {
    bool complete = false;
    double timeInFloors = 0;
    // Time at which half of the replicas were complete.
    double medianInFloors = 0;
    double originCopies = 0;
    // The largest number of copies that entered a region from others.
    double interRegionCopies = 0;
    std::map<std::string, double> copiesByLink;
    // Replicas that ended with a chunk missing or wrong.
    unsigned wrongReplicas = 0;
    uint64_t corruptChunks = 0;
    uint64_t stalledDownloads = 0;
    uint64_t failedDownloads = 0;
    uint64_t peakBytesPerAgent = 0;
    double controlBytesPerSecond = 0;
    // Questions for holdings and requests for chunks, a second and agent.
    double holdingsRequestsPerSecond = 0;
    double chunkRequestsPerSecond = 0;
    // Share of the requests for chunks that found no free upload slot.
    double refusedShare = 0;
    // Processor time of the process divided by the duration. Without a fault a question for holdings that takes long
    // shows a process that lags, because no link limits these messages.
    double processorCores = 0;
    double holdingsRoundTripP99Ms = 0;
    double holdingsRoundTripMaxMs = 0;
};

// Rolls a model out over a fleet in this process and measures it.
RolloutMeasurement measureRollout(const RolloutOptions&);

// The fault with this name; empty if there is none.
std::optional<RolloutFault> parseFault(const std::string& name);
std::string faultName(RolloutFault);

} // namespace Lavenderloft::Bench
