#include "Base/TokenBucket.h"

#include <algorithm>

namespace Lavenderloft::Base {

TokenBucket::TokenBucket(double rate, double burst)
    : m_rate(rate)
    , m_burst(burst)
    , m_tokens(burst)
{
}

Duration TokenBucket::take(double tokens, TimePoint now)
{
    std::lock_guard guard(m_lock);
    refill(now);
    m_tokens -= tokens;
    if (m_tokens >= 0)
        return Duration::zero();
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(-m_tokens / m_rate));
}

bool TokenBucket::tryTake(double tokens, TimePoint now)
{
    std::lock_guard guard(m_lock);
    refill(now);
    if (m_tokens < tokens)
        return false;
    m_tokens -= tokens;
    return true;
}

void TokenBucket::setRate(double rate, TimePoint now)
{
    std::lock_guard guard(m_lock);
    refill(now);
    m_rate = rate;
}

void TokenBucket::refill(TimePoint now)
{
    if (m_lastRefill == TimePoint {}) {
        m_lastRefill = now;
        return;
    }
    if (now <= m_lastRefill)
        return;
    auto elapsed = std::chrono::duration<double>(now - m_lastRefill).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
    m_lastRefill = now;
}

} // namespace Lavenderloft::Base
