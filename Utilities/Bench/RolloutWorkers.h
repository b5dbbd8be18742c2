#pragma once

#include "Bench/ChildProcess.h"
#include "Bench/RolloutFleet.h"

#include <chrono>
#include <map>

namespace Lavenderloft::Bench {

// Sums over all replicas of a fleet.
struct RolloutTotals {
    unsigned wrongReplicas = 0;
    uint64_t corruptChunks = 0;
    uint64_t stalledDownloads = 0;
    uint64_t failedDownloads = 0;
    uint64_t controlBytes = 0;
    uint64_t holdingsRequests = 0;
    uint64_t chunkRequests = 0;
    uint64_t busyRefusals = 0;
    RoundTripSummary roundTrips;
};

// A fleet whose replicas are spread over several child processes, because the threads with which gRPC serves the
// callbacks of one process do not keep up with a large fleet. Must be constructed before this process starts threads.
class RolloutWorkers {
public:
    // The models are by digest and must outlive the workers.
    RolloutWorkers(const FleetShape&, unsigned replicasPerProcess, const std::shared_ptr<RolloutLinks>&, const std::map<std::string, Model>&);
    ~RolloutWorkers();

    // Starts all replicas and makes them known to each other.
    void start(const std::string& storeAddress);

    void setWanted(const std::string& digest);
    void corruptChunksFrom(const std::string& vm);
    void stallChunksFrom(const std::string& vm);
    // An empty name ends the partition.
    void partitionRegion(const std::string& region);
    void kill(const std::string& vm);
    void removeMember(const std::string& vm);

    unsigned countComplete(const std::string& digest) const;
    RolloutTotals collect(const std::string& digest) const;
    std::chrono::duration<double> processorTime() const;
    // Growth of all processes since their start, at the peak of each.
    uint64_t peakGrowthBytes() const;

private:
    struct Worker;

    // Sends a JSON object to all processes and returns their responses.
    std::vector<std::string> send(const std::string& request) const;
    void sendFor(const std::string& command, const std::string& field, const std::string& value) const;

    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace Lavenderloft::Bench
