#pragma once

#include "Membership/ControlHandler.h"

#include <map>
#include <string>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Processes of one data centre.
struct DataCentreSummary {
    size_t routers = 0;
    size_t agents = 0;
    size_t leaving = 0;
    size_t suspect = 0;
    // Least and greatest revision in force there. Of another data centre only the least is known; both have its
    // value, or zero before a report has arrived.
    uint64_t leastRevision = 0;
    uint64_t greatestRevision = 0;
};

// Replicas of one pool or service: those of the own data centre by their records, those of others by the
// reports of the relays there.
struct PoolSummary {
    size_t ready = 0;
    size_t fetching = 0;
    size_t waiting = 0;
    size_t loading = 0;
    size_t failed = 0;
    size_t leaving = 0;
    // Replicas of all data centres by the digest that they serve.
    std::map<std::string, size_t> readyByDigest;
    // "vm: reason" of replicas that are late.
    std::vector<std::string> late;
};

struct FleetSummary {
    std::map<std::string, DataCentreSummary> dataCentres;
    std::map<std::string, PoolSummary> pools;
    // Reports of other data centres.
    std::vector<PoolReport> reports;
    // "vm: reason" of processes that refused a document.
    std::vector<std::string> refusals;
    // Why the view may be partial; empty if it is whole as far as this process knows.
    std::vector<std::string> partial;
};

// A report that is older than this is named as old. A relay hears from each of 19 other data centres about
// every 10 s.
inline constexpr std::chrono::seconds staleReportAge { 60 };

// Sums up what one process knows of the fleet.
FleetSummary summarizeFleet(const FleetStatus&);

} // namespace Lavenderloft::Membership::Queries
