#include "Dispatch/Queries/FindSilenceLimits.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds minimumLimit = 1000ms;
    // Multiple of the target latency, or of the longest pause that counts as on time.
    constexpr int routeFactor = 3;
    // Share of the responses that count as typical. It stays below the share of a few silent targets.
    constexpr double typicalShare = 0.75;
    // Multiple of what is typical.
    constexpr int typicalFactor = 2;

    Base::Duration limitOf(std::chrono::milliseconds expected, Base::Duration typical)
    {
        Base::Duration limit = std::max(minimumLimit, expected * routeFactor);
        return std::max(limit, typical * typicalFactor);
    }

} // namespace

SilenceLimits findSilenceLimits(DispatchState& state, const RequestTraits& traits, Base::TimePoint now)
{
    return state.withService(traits.service, [&](ServiceState& service) {
        auto& times = service.responseTimes;
        auto firstPart = times.firstPart.quantile(typicalShare, now).value_or(Base::Duration::zero());
        auto pause = times.longestPause.quantile(typicalShare, now).value_or(Base::Duration::zero());
        return SilenceLimits { limitOf(traits.route->targetLatency, firstPart), limitOf(traits.route->maximumEventGap, pause), firstPart };
    });
}

} // namespace Lavenderloft::Dispatch::Queries
