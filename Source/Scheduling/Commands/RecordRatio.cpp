#include "Scheduling/Commands/RecordRatio.h"

#include "Scheduling/Queries/FindRatio.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Scheduling::Commands {

namespace {

    // One observation counts as at most this ratio or its reciprocal.
    constexpr double largestRatio = 20;

} // namespace

void recordRatio(RatioAverage& average, Base::Duration observed, Base::Duration predicted, Base::TimePoint now)
{
    if (predicted <= Base::Duration::zero())
        return;
    auto ratio = static_cast<double>(observed.count()) / static_cast<double>(predicted.count());
    auto remaining = Queries::remainingShare(average, now);
    average.weightedSum = average.weightedSum * remaining + std::log(std::clamp(ratio, 1 / largestRatio, largestRatio));
    average.weight = average.weight * remaining + 1;
    average.decayedAt = now;
}

} // namespace Lavenderloft::Scheduling::Commands
