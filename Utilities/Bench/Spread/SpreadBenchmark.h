#pragma once

#include "Bench/Spread/FleetNode.h"
#include "Standin/ConfigurationService.h"
#include "Standin/VmList.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Bench::Spread {

enum class Fault {
    None,
    // 10% of the calls between processes fail.
    Loss,
    // The configuration service goes down as soon as one process has applied the change.
    ServiceDown,
    // One data centre is partitioned from the others and from the platform while a change is published, and healed
    // afterwards.
    Partition,
};

struct SpreadOptions {
    size_t nodes = 50;
    size_t dataCentres = 5;
    uint64_t seed = 1;
    Fault fault = Fault::None;
    size_t changes = 5;
    // Duration of the measurement without changes.
    std::chrono::seconds idleTime { 10 };
    // Number of pools in the document, which determines its size.
    size_t pools = 20;
};

struct SpreadReport {
    bool converged = false;
    // From the start of the last process until every process lists all members.
    std::chrono::milliseconds joinTime {};
    // From publication, or from the end of the partition, until the change is in force in every process.
    std::vector<std::chrono::milliseconds> inForceTimes;
    // Revisions that were not in force everywhere within the time limit.
    size_t revisionsLost = 0;
    // Observations of a process going back to an older revision.
    size_t reverted = 0;
    double serviceCallsPerSecond = 0;
    // Traffic and CPU time, in cores, while no change is published.
    double quietBytesPerNodeSecond = 0;
    double quietCorePerNode = 0;
    double bytesPerNodeChange = 0;
    double residentBytesPerNode = 0;
    size_t documentBytes = 0;
};

// Runs the control planes of many simulated processes over loopback and measures the propagation of changes.
class SpreadBenchmark {
public:
    explicit SpreadBenchmark(SpreadOptions);

    SpreadReport run();

private:
    void startNodes();
    std::unique_ptr<Process::ConfigurationSource> makeConfigurationSource() const;
    bool waitForMembers();
    bool waitForRevision(uint64_t revision);
    void measureIdleFleet();
    void publishChange(uint64_t revision);
    void publishDuringPartition(uint64_t revision);
    std::string documentText(uint64_t revision) const;
    size_t countNodesAtRevision(uint64_t revision);
    uint64_t totalBytes() const;

    SpreadOptions m_options;
    SpreadReport m_report;
    NetworkFaults m_faults;
    Standin::ConfigurationService m_service;
    Standin::VmList m_vmList;
    std::vector<std::unique_ptr<FleetNode>> m_nodes;
    // Greatest revision observed in force at each node.
    std::vector<uint64_t> m_greatestRevisions;
};

} // namespace Lavenderloft::Bench::Spread
