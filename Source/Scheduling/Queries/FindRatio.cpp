#include "Scheduling/Queries/FindRatio.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Scheduling::Queries {

double remainingShare(const RatioAverage& average, Base::TimePoint now)
{
    auto halvings = std::chrono::duration<double>(now - average.decayedAt) / std::chrono::duration<double>(average.halfLife);
    return std::exp2(-halvings);
}

double findRatio(const RatioAverage& average, Base::TimePoint now)
{
    if (average.weight <= 0)
        return 1;
    auto weight = average.weight * remainingShare(average, now);
    return std::exp(average.weightedSum / average.weight * std::min(1.0, weight));
}

} // namespace Lavenderloft::Scheduling::Queries
