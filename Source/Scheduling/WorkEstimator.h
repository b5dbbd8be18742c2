#pragma once

#include "Scheduling/QueuedWork.h"

namespace Lavenderloft::Scheduling {

// Predicts how much of its target's time a request takes. Estimates of requests of one service can be compared and added.
class WorkEstimator {
public:
    virtual ~WorkEstimator() = default;

    // At least 1.
    virtual double estimate(const RequestSize&) const = 0;
};

} // namespace Lavenderloft::Scheduling
