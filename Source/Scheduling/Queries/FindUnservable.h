#pragma once

#include "Base/Clock.h"

#include <cstddef>
#include <vector>

namespace Lavenderloft::Scheduling::Queries {

// A request in a queue.
struct QueuedWait {
    // In the unit of the rate.
    double work = 1;
    // The request waits no longer.
    Base::TimePoint until {};
    // It waits until then in any case.
    bool isInterrupted = false;
};

// Indexes of the requests that are not expected to be served before their wait ends, at that rate of work a second. The
// requests are in the order of service. Answers more urgent arrivals than the queue expected: the last in the order can be
// refused at once instead of at the end of their wait. A rate of zero is unknown, and none is found.
std::vector<size_t> findUnservable(const std::vector<QueuedWait>&, double workPerSecond, Base::TimePoint now);

} // namespace Lavenderloft::Scheduling::Queries
