#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <string>

namespace Lavenderloft::Membership {

// What the relays of a data centre tell others of one pool or service there, in place of member records in full.
struct PoolReport {
    std::string dataCentre;
    std::string pool;
    // Members of the data centre that hold a replica of the pool or are to hold one.
    uint32_t wanted = 0;
    uint32_t ready = 0;
    uint32_t loading = 0;
    uint32_t fetching = 0;
    // Replicas that are not ready and give a reason.
    uint32_t late = 0;
    // Oldest revision in force in the whole data centre.
    uint64_t oldestRevision = 0;
    // Time since a relay of the data centre counted.
    Base::Duration age {};

    bool operator==(const PoolReport&) const = default;
};

} // namespace Lavenderloft::Membership
