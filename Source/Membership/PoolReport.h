#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Membership {

// Replica counts of one pool or service in one data centre. Relays send them to other data centres instead of
// complete member records.
struct PoolReport {
    std::string dataCentre;
    std::string pool;
    // Members of the data centre that have or will have a replica of the pool.
    uint32_t wanted = 0;
    uint32_t ready = 0;
    uint32_t loading = 0;
    uint32_t fetching = 0;
    // Replicas that are not ready and report a reason.
    uint32_t late = 0;
    // Lowest revision that is active on any member of the data centre.
    uint64_t oldestRevision = 0;
    // Time since a relay of the data centre made the report.
    Base::Duration age {};

    bool operator==(const PoolReport&) const = default;
};

} // namespace Lavenderloft::Membership
