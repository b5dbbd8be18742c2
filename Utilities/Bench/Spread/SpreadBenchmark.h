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
    // One call in ten between processes is lost.
    Loss,
    // The configuration service goes down as soon as one process holds the change.
    ServiceDown,
    // A part of the data centres is cut off while a change is published, and healed afterwards.
    Partition,
};

struct SpreadOptions {
    size_t nodes = 50;
    size_t dataCentres = 5;
    uint64_t seed = 1;
    Fault fault = Fault::None;
    size_t changes = 5;
    // Time over which the quiet fleet is measured.
    std::chrono::seconds quietTime { 10 };
    // Pools in the document, which set its size.
    size_t pools = 20;
};

struct SpreadReport {
    bool converged = false;
    // From the start of the last process until every process knows every other.
    std::chrono::milliseconds joinTime {};
    // From publication, or from healing, until the change is in force in every process.
    std::vector<std::chrono::milliseconds> inForceTimes;
    size_t revisionsLost = 0;
    size_t reverted = 0;
    double serviceCallsPerSecond = 0;
    double quietBytesPerNodeSecond = 0;
    double quietCorePerNode = 0;
    double bytesPerNodeChange = 0;
    double residentBytesPerNode = 0;
    size_t documentBytes = 0;
};

// Runs the control planes of many processes over loopback and measures how a change spreads.
class SpreadBenchmark {
public:
    explicit SpreadBenchmark(SpreadOptions);

    SpreadReport run();

private:
    void startNodes();
    std::unique_ptr<Process::ConfigurationSource> makeSource() const;
    bool waitForMembers();
    bool waitForRevision(uint64_t revision);
    void measureQuietTime();
    void publishChange(uint64_t revision);
    void publishDuringPartition(uint64_t revision);
    std::string documentText(uint64_t revision) const;
    size_t countHolding(uint64_t revision);
    uint64_t totalBytes() const;

    SpreadOptions m_options;
    SpreadReport m_report;
    NetworkFaults m_faults;
    Standin::ConfigurationService m_service;
    Standin::VmList m_vmList;
    std::vector<std::unique_ptr<FleetNode>> m_nodes;
    // Greatest revision seen in force at each node.
    std::vector<uint64_t> m_seenRevisions;
};

} // namespace Lavenderloft::Bench::Spread
