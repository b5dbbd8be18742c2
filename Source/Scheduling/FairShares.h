#pragma once

#include "Scheduling/QueuedWork.h"

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace Lavenderloft::Scheduling {

// Start-time fair queueing among the organisations of one urgency. Each request gets a start tag on arrival, and the least
// tag is served first, so that every organisation with waiting requests gets an equal part of the predicted work. What one
// does not use, the others may; idle time earns no credit. Changed by Commands/RecordWork.
struct FairShares {
    // Organisations beyond these share one account.
    static constexpr size_t maximumOrganisations = 256;
    // Name of their account, which is also that of requests without an organisation.
    static inline const std::string sharedAccount;

    // Start tag of the latest request that was served.
    double virtualTime = 0;
    // Start tag of the next request of each organisation, unless the virtual time is higher.
    std::unordered_map<std::string, double> nextTags;
};

// The shares at each urgency. Higher numbers share the last entry.
struct SharesByUrgency {
    static constexpr size_t bandCount = 8;

    std::array<FairShares, bandCount> bands;

    FairShares& at(int urgency);
    const FairShares& at(int urgency) const;
};

} // namespace Lavenderloft::Scheduling
