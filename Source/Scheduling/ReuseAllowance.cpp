#include "Scheduling/ReuseAllowance.h"

#include <algorithm>

namespace Lavenderloft::Scheduling {

namespace {

    // Requests that may start at once after a pause, and that may have started by grants beyond the limit. With one, a part of
    // a small rate is lost, because a slot is seldom released when a token is there.
    constexpr double burst = 2;

} // namespace

void ReuseAllowance::setLimit(const std::optional<ReuseLimit>& limit, Base::TimePoint now)
{
    m_tokens = isLimited(now) ? tokensAt(now) : 0;
    m_refilledAt = now;
    m_limit = limit;
    m_setAt = now;
}

bool ReuseAllowance::allows(int urgency, Base::TimePoint now) const
{
    return !isLimited(now) || urgency < m_limit->urgency || tokensAt(now) >= 1;
}

void ReuseAllowance::recordStart(int urgency, Base::TimePoint now)
{
    if (!isLimited(now) || urgency < m_limit->urgency)
        return;
    m_tokens = std::max(tokensAt(now) - 1, -burst);
    m_refilledAt = now;
}

double ReuseAllowance::tokensAt(Base::TimePoint now) const
{
    auto elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    return std::min(burst, m_tokens + elapsed * m_limit->requestsPerSecond);
}

} // namespace Lavenderloft::Scheduling
