#include "Dispatch/BoundedWaitPolicy.h"

#include <algorithm>

namespace Lavenderloft::Dispatch {

namespace {

    using namespace std::chrono_literals;

    // Part of the target latency that a request may spend waiting.
    constexpr double waitShare = 0.35;
    // Requests beyond the slots of a plain target that it may queue itself.
    constexpr unsigned plainQueueFactor = 2;
    constexpr std::chrono::milliseconds shortestRetryAfter = 500ms;
    constexpr std::chrono::milliseconds longestRetryAfter = 2000ms;

} // namespace

unsigned BoundedWaitPolicy::placesOf(unsigned slots, bool isEngine) const
{
    auto known = std::max(slots, 1u);
    return isEngine ? known : known * plainQueueFactor;
}

Base::Duration BoundedWaitPolicy::longestWait(const RequestTraits& traits, const ServiceLoad& load) const
{
    auto longest = std::chrono::duration_cast<Base::Duration>(traits.route->targetLatency * waitShare);
    if (load.completionsPerSecond <= 0)
        return longest;
    // A request that would still wait after that time is told at once.
    auto expected = std::chrono::duration<double>(static_cast<double>(load.waiting) / load.completionsPerSecond);
    return expected > longest ? Base::Duration::zero() : longest;
}

std::chrono::milliseconds BoundedWaitPolicy::retryAfter(const RequestTraits&, const ServiceLoad& load) const
{
    if (load.completionsPerSecond <= 0)
        return longestRetryAfter;
    auto expected = std::chrono::duration<double>(static_cast<double>(load.waiting + 1) / load.completionsPerSecond);
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(expected), shortestRetryAfter, longestRetryAfter);
}

} // namespace Lavenderloft::Dispatch
