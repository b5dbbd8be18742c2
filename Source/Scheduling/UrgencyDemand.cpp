#include "Scheduling/UrgencyDemand.h"

#include <algorithm>

namespace Lavenderloft::Scheduling {

bool UrgencyDemand::isUnmet() const
{
    // Both rates are averages of the same length, so that they differ little while all requests start. A single request
    // that did not start makes a difference of one a second at first.
    constexpr double startedShare = 0.95;
    constexpr double tolerancePerSecond = 0.5;
    return waiting > 0 || startsPerSecond + tolerancePerSecond < requestsPerSecond * startedShare;
}

size_t DemandByUrgency::bandOf(int urgency)
{
    return static_cast<size_t>(std::clamp(urgency, 0, static_cast<int>(leastUrgentBand)));
}

bool DemandByUrgency::isEmpty() const
{
    return std::all_of(bands.begin(), bands.end(), [](auto& band) { return band.isEmpty(); });
}

} // namespace Lavenderloft::Scheduling
