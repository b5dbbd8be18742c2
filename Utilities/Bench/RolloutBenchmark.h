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
    // The replica that owns the most chunks in the store's region sends only corrupt chunks.
    Corrupt,
    // The same replica reports chunks as held and sends none.
    Stall,
    // The same replica is shut down.
    Kill,
    // A second version replaces the first during the transfer; half of the chunks are shared.
    VersionChange,
    // The last region is partitioned from the others and from the origin for half of the floor.
    Partition,
};

struct RolloutOptions {
    unsigned replicas = 10;
    unsigned regions = 3;
    uint64_t seed = 1;
    RolloutFault fault = RolloutFault::None;
    // Transfer time of one copy of the model over a VM's link: the lower bound of the rollout time for any number
    // of replicas.
    std::chrono::milliseconds floor { 20000 };
    size_t chunkCount = 200;
    size_t chunkBytes = 40960;
    bool originOnly = false;
    // The replicas are spread over processes of at most this many.
    unsigned replicasPerProcess = 25;
    // Time-out of the whole rollout.
    std::chrono::milliseconds limit { 240000 };
};

// Largest fleet with chunks of the default size. In larger fleets the processor time, not the chunk exchange, limits the
// rollout: with 200 replicas in one process half of the holdings requests, which no simulated link limits, took longer
// than 300 ms, and many exceeded their deadline of one second.
inline constexpr unsigned maximumReplicasAtDefaultChunkSize = 100;

// Reduces the chunk size of larger fleets, so that a chunk is sent in two messages instead of eight. Link rates shrink
// with the model and the floor is unchanged, so ratios to the floor and to the model's size stay comparable. A longer
// floor is no alternative: with so few messages per chunk, each would take as long as the stall time-out.
RolloutOptions scaleChunkSize(RolloutOptions);

// Results of one rollout. Traffic is given in copies, that is multiples of the model's size, and time in floors, that
// is multiples of RolloutOptions::floor.
struct RolloutMeasurement {
    bool complete = false;
    double timeInFloors = 0;
    // Time until half of the replicas were complete.
    double medianInFloors = 0;
    double originCopies = 0;
    // The largest number of copies received by a region from the others.
    double interRegionCopies = 0;
    std::map<std::string, double> copiesByLink;
    // Replicas with a missing or incorrect chunk at the end.
    unsigned wrongReplicas = 0;
    uint64_t corruptChunks = 0;
    uint64_t stalledDownloads = 0;
    uint64_t failedDownloads = 0;
    uint64_t peakBytesPerAgent = 0;
    double controlBytesPerSecond = 0;
    // Requests per second and agent.
    double holdingsRequestsPerSecond = 0;
    double chunkRequestsPerSecond = 0;
    // Fraction of the chunk requests that were refused because no upload slot was free.
    double refusedShare = 0;
    // CPU time of all processes divided by the duration. In a run without a fault, slow holdings round trips mean that
    // a process is overloaded, because no simulated link limits these messages.
    double processorCores = 0;
    double holdingsRoundTripP99Ms = 0;
    double holdingsRoundTripMaxMs = 0;
};

// Rolls a model out to a fleet in child processes. Must be called before this process starts threads.
RolloutMeasurement measureRollout(const RolloutOptions&);

// Returns no value if no fault has this name.
std::optional<RolloutFault> parseFault(const std::string& name);
std::string faultName(RolloutFault);

} // namespace Lavenderloft::Bench
