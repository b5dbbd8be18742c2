#include "Staging/Commands/TakeGrantableSlots.h"

#include <algorithm>
#include <utility>

namespace Lavenderloft::Staging::Commands {

void recordUrgentNeed(GrantableSlots& state, bool isUnmet, Base::TimePoint now)
{
    if (isUnmet)
        state.urgentUnmetAt = now;
}

void recordReuseLimits(GrantableSlots& state, bool isLimited, bool reachesAllRouters)
{
    state.limitedReports = isLimited && reachesAllRouters ? state.limitedReports + 1 : 0;
}

unsigned takeGrantableSlots(GrantableSlots& state, unsigned free, std::optional<double> coldRate, Base::TimePoint now)
{
    // Weight of one report, so that the average follows a burst within half a second.
    constexpr double weight = 0.2;
    // Until the limit has reached the routers of other regions, which get reports in rotation.
    constexpr unsigned reportsToAllRouters = 4;
    auto freeBefore = std::exchange(state.previouslyFree, free);
    // Routers whose reuse is limited do not come back to a free slot.
    auto slots = state.limitedReports >= reportsToAllRouters ? free : std::min(free, freeBefore);
    state.meanGranted += weight * (slots - state.meanGranted);
    if (coldRate)
        return state.coldStart.take(slots, *coldRate, now);
    state.coldStart.reset();
    return slots;
}

} // namespace Lavenderloft::Staging::Commands
