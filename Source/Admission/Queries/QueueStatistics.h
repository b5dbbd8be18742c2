#pragma once

#include "Admission/WaitingQueue.h"

namespace Lavenderloft::Admission::Queries {

struct QueueStatistics {
    size_t requests = 0;
    // Announced sizes of the bodies, which are not held yet.
    uint64_t bytes = 0;
};

QueueStatistics queueStatistics(const WaitingQueue&);

} // namespace Lavenderloft::Admission::Queries
