#pragma once

#include "Base/Clock.h"

namespace Lavenderloft::Scheduling {

// Recent ratios of an observed to a predicted time. Changed by Commands/RecordRatio, read by Queries/FindRatio.
struct RatioAverage {
    // A ratio loses half of its weight in this time.
    Base::Duration halfLife { std::chrono::seconds(1) };
    // Sum of the logarithms, each with its weight.
    double weightedSum = 0;
    double weight = 0;
    Base::TimePoint decayedAt {};
};

} // namespace Lavenderloft::Scheduling
