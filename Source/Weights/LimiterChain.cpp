#include "Weights/LimiterChain.h"

#include <algorithm>

namespace Lavenderloft::Weights {

LimiterChain::LimiterChain(std::vector<std::shared_ptr<LinkLimiter>> limiters)
    : m_limiters(std::move(limiters))
{
}

Base::Duration LimiterChain::startDelay(const std::string& region, Base::TimePoint now) const
{
    auto delay = Base::Duration::zero();
    for (auto& limiter : m_limiters)
        delay = std::max(delay, limiter->startDelay(region, now));
    return delay;
}

void LimiterChain::accountUpload(const std::string& region, uint64_t bytes, Base::TimePoint now)
{
    for (auto& limiter : m_limiters)
        limiter->accountUpload(region, bytes, now);
}

Base::Duration LimiterChain::partDelay(const Receiver& receiver, uint64_t bytes, Base::TimePoint now)
{
    auto delay = Base::Duration::zero();
    for (auto& limiter : m_limiters)
        delay = std::max(delay, limiter->partDelay(receiver, bytes, now));
    return delay;
}

} // namespace Lavenderloft::Weights
