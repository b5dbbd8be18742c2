#pragma once

#include "Membership/ControlHandler.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Counts of the processes in one data centre.
struct DataCentreSummary {
    size_t routers = 0;
    size_t agents = 0;
    size_t leaving = 0;
    size_t suspect = 0;
    // Lowest and highest active revision. For other data centres only the lowest is known: both fields hold it,
    // or zero before the first report.
    uint64_t leastRevision = 0;
    uint64_t greatestRevision = 0;
};

// Replica counts of one pool or service, from the member records of the local data centre and from the pool
// reports of other data centres.
struct PoolSummary {
    size_t ready = 0;
    size_t fetching = 0;
    size_t waiting = 0;
    size_t loading = 0;
    size_t failed = 0;
    size_t leaving = 0;
    // Replicas of all data centres by loaded digest.
    std::map<std::string, size_t> readyByDigest;
    // "vm: reason" of replicas that are not ready, and counts of such replicas in other data centres.
    std::vector<std::string> late;
};

struct FleetSummary {
    std::map<std::string, DataCentreSummary> dataCentres;
    std::map<std::string, PoolSummary> pools;
    // Reports of other data centres.
    std::vector<PoolReport> reports;
    // "vm: reason" of processes that refused a document.
    std::vector<std::string> refusals;
    // Reasons why the view may be incomplete; empty if none is known.
    std::vector<std::string> partial;
};

// Age above which a report is listed as stale. A relay receives a report from each of 19 other data centres about
// every 10 s.
inline constexpr std::chrono::seconds staleReportAge { 60 };

// Aggregates the members and pool reports known to one process.
FleetSummary summarizeFleet(const FleetStatus&);

} // namespace Lavenderloft::Membership::Queries
