#pragma once

#include "Admission/WaitingQueue.h"

namespace Lavenderloft::Admission::Queries {

struct QueueStatistics {
    size_t requests = 0;
    // Announced body sizes. The bodies have not been sent yet.
    uint64_t bytes = 0;
};

QueueStatistics queueStatistics(const WaitingQueue&);

} // namespace Lavenderloft::Admission::Queries
