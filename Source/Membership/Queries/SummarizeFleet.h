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
    // Least and greatest revision in force there.
    uint64_t leastRevision = 0;
    uint64_t greatestRevision = 0;
};

// Replicas of one pool or service.
struct PoolSummary {
    size_t ready = 0;
    size_t fetching = 0;
    size_t waiting = 0;
    size_t loading = 0;
    size_t failed = 0;
    size_t leaving = 0;
    // Ready replicas by the digest that they serve.
    std::map<std::string, size_t> readyByDigest;
    // "vm: reason" of replicas that are late.
    std::vector<std::string> late;
};

struct FleetSummary {
    std::map<std::string, DataCentreSummary> dataCentres;
    std::map<std::string, PoolSummary> pools;
    // "vm: reason" of processes that refused a document.
    std::vector<std::string> refusals;
    // Why the view may be partial; empty if it is whole as far as this process knows.
    std::vector<std::string> partial;
};

// Sums up what one process knows of the fleet.
FleetSummary summarizeFleet(const FleetStatus&);

} // namespace Lavenderloft::Membership::Queries
