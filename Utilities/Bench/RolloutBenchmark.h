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
    // The replica that has the most duties in the store's region sends only damaged chunks.
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
