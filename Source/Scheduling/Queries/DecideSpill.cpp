#include "Scheduling/Queries/DecideSpill.h"

#include <algorithm>

namespace Lavenderloft::Scheduling::Queries {

namespace {

    using namespace std::chrono_literals;

    // Fraction of the target latency. What saves less makes few responses timely, and uses the links between regions.
    constexpr double marginShare = 0.2;
    // For routes without a target latency, so that errors of the prediction cause no spill.
    constexpr std::chrono::milliseconds minimumMargin = 20ms;

} // namespace

bool shouldSpill(const SpillWaits& waits, std::chrono::milliseconds targetLatency, bool isSpilling)
{
    auto margin = std::max(std::chrono::duration<double, std::milli>(minimumMargin), std::chrono::duration<double, std::milli>(targetLatency) * marginShare);
    return waits.home - waits.away > (isSpilling ? margin / 2 : margin);
}

} // namespace Lavenderloft::Scheduling::Queries
