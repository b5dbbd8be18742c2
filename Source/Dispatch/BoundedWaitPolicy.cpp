#include "Dispatch/BoundedWaitPolicy.h"

#include <algorithm>

namespace Lavenderloft::Dispatch {

namespace {

    using namespace std::chrono_literals;

    // Fraction of the target latency that a request may spend in the queue.
    constexpr double waitFraction = 0.35;
    // A plain target gets this multiple of its slots and queues the excess itself.
    constexpr unsigned plainQueueFactor = 2;
    constexpr std::chrono::milliseconds minimumRetryAfter = 500ms;
    constexpr std::chrono::milliseconds maximumRetryAfter = 2000ms;

} // namespace

unsigned BoundedWaitPolicy::concurrencyLimit(unsigned slots, bool isEngine) const
{
    auto known = std::max(slots, 1u);
    return isEngine ? known : known * plainQueueFactor;
}

Base::Duration BoundedWaitPolicy::maximumWait(const RequestTraits& traits, const ServiceLoad& load) const
{
    // The alternative is a response that breaks off. Slots are freed often.
    if (traits.isInterrupted)
        return Base::Duration::max();
    auto longest = std::chrono::duration_cast<Base::Duration>(traits.route->targetLatency * waitFraction);
    if (load.completionsPerSecond <= 0)
        return longest;
    // Refuses immediately if the queue is not expected to drain within that time.
    auto expected = std::chrono::duration<double>(static_cast<double>(load.preceding) / load.completionsPerSecond);
    return expected > longest ? Base::Duration::zero() : longest;
}

std::chrono::milliseconds BoundedWaitPolicy::retryAfter(const RequestTraits&, const ServiceLoad& load) const
{
    if (load.completionsPerSecond <= 0)
        return maximumRetryAfter;
    auto expected = std::chrono::duration<double>(static_cast<double>(load.preceding + 1) / load.completionsPerSecond);
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(expected), minimumRetryAfter, maximumRetryAfter);
}

} // namespace Lavenderloft::Dispatch
