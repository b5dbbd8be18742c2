#include "Scheduling/Queries/FindHeadroom.h"

#include <cmath>

namespace Lavenderloft::Scheduling::Queries {

double findHeadroom(double requestsPerSecond, std::chrono::duration<double> holdingTime)
{
    constexpr double standardDeviations = 2;
    auto mean = requestsPerSecond * holdingTime.count();
    // The number of slots in use has a Poisson distribution if no request waits.
    return mean + standardDeviations * std::sqrt(mean);
}

} // namespace Lavenderloft::Scheduling::Queries
