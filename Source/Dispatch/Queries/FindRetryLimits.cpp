#include "Dispatch/Queries/FindRetryLimits.h"

namespace Lavenderloft::Dispatch::Queries {

RetryLimits findRetryLimits(const DispatchState& state, Base::TimePoint now)
{
    // Fraction of the fleet-wide budget that routers use. The rest covers requests that two routers count in
    // different windows.
    constexpr double usedFraction = 0.8;
    auto bounds = state.bounds();
    auto routers = state.routerCount();
    bool hasSlack = routers && now - state.startedAt() >= bounds.retryWindow;
    return { usedFraction * bounds.retryRatio, hasSlack ? usedFraction * bounds.retrySlack / *routers : 0 };
}

} // namespace Lavenderloft::Dispatch::Queries
