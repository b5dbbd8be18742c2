#pragma once

#include "Scheduling/UrgencyDemand.h"

namespace Lavenderloft::Scheduling::Queries {

// More is not believed of any router, so that a faulty one does not take the slots of the others.
inline constexpr double maximumRequestsPerSecond = 10000;
inline constexpr unsigned maximumWaiting = 1000;

// Zero for a negative number or none, at most `maximumRequestsPerSecond`.
double clampRate(double requestsPerSecond);

// The demand with all numbers within their bounds.
UrgencyDemand clampDemand(const UrgencyDemand&);

// Whether a number of the demand is out of its bounds.
bool isOutOfBounds(const UrgencyDemand&);

} // namespace Lavenderloft::Scheduling::Queries
