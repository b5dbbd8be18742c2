#include "Scheduling/Queries/ClampDemand.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Scheduling::Queries {

double clampRate(double requestsPerSecond)
{
    if (!std::isfinite(requestsPerSecond))
        return 0;
    return std::clamp(requestsPerSecond, 0.0, maximumRequestsPerSecond);
}

UrgencyDemand clampDemand(const UrgencyDemand& demand)
{
    return { clampRate(demand.requestsPerSecond), std::min(demand.waiting, maximumWaiting), clampRate(demand.startsPerSecond) };
}

bool isOutOfBounds(const UrgencyDemand& demand)
{
    auto clamped = clampDemand(demand);
    // A number that is none differs from itself.
    return clamped.requestsPerSecond != demand.requestsPerSecond || clamped.waiting != demand.waiting || clamped.startsPerSecond != demand.startsPerSecond;
}

} // namespace Lavenderloft::Scheduling::Queries
