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
    // Callers that are refused at the same time return spread over this part of the expected time.
    constexpr double retrySpread = 0.5;
    constexpr uint64_t spreadSteps = 1000;

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
    auto expected = std::chrono::duration<double>(load.precedingRequests / load.completionsPerSecond);
    return expected > longest ? Base::Duration::zero() : longest;
}

std::chrono::milliseconds BoundedWaitPolicy::retryAfter(const RequestTraits& traits, const ServiceLoad& load) const
{
    if (load.completionsPerSecond <= 0)
        return maximumRetryAfter;
    std::chrono::duration<double> expected((load.precedingRequests + 1) / load.completionsPerSecond);
    expected = std::max<std::chrono::duration<double>>(expected, minimumRetryAfter);
    auto position = static_cast<double>(traits.fingerprint % spreadSteps) / spreadSteps;
    auto spread = expected * (1 + retrySpread * position);
    return std::min(std::chrono::duration_cast<std::chrono::milliseconds>(spread), maximumRetryAfter);
}

} // namespace Lavenderloft::Dispatch
