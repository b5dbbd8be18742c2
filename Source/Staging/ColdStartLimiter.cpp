#include "Staging/ColdStartLimiter.h"

#include <algorithm>
#include <chrono>

namespace Lavenderloft::Staging {

namespace {

    // Places that were not wanted may be dealt later, up to those of this time.
    constexpr std::chrono::duration<double> longestSaving { 0.2 };

} // namespace

unsigned ColdStartLimiter::take(unsigned wanted, double requestsPerSecond, Base::TimePoint now)
{
    if (m_refilledAt != Base::TimePoint()) {
        auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(m_tokens + elapsed * requestsPerSecond, std::max(1.0, longestSaving.count() * requestsPerSecond));
    }
    m_refilledAt = now;
    auto dealt = std::min(wanted, static_cast<unsigned>(m_tokens));
    m_tokens -= dealt;
    return dealt;
}

void ColdStartLimiter::reset()
{
    m_tokens = 0;
    m_refilledAt = {};
}

} // namespace Lavenderloft::Staging
