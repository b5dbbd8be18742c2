#include "Staging/ColdStartLimiter.h"

#include <algorithm>
#include <chrono>

namespace Lavenderloft::Staging {

namespace {

    // Capacity of the bucket: unused tokens accumulate for this long.
    constexpr std::chrono::duration<double> burstPeriod { 0.2 };

} // namespace

unsigned ColdStartLimiter::take(unsigned requested, double requestsPerSecond, Base::TimePoint now)
{
    if (m_refilledAt != Base::TimePoint()) {
        auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_tokens + elapsed * requestsPerSecond, std::max(1.0, burstPeriod.count() * requestsPerSecond));
    }
    m_refilledAt = now;
    auto granted = std::min(requested, static_cast<unsigned>(m_tokens));
    m_tokens -= granted;
    return granted;
}

void ColdStartLimiter::reset()
{
    m_tokens = 0;
    m_refilledAt = {};
}

} // namespace Lavenderloft::Staging
