#include "Base/ManualClock.h"

namespace Lavenderloft::Base {

ManualClock::ManualClock(WallTime start)
    : m_now(std::chrono::hours(1))
    , m_wallTime(start)
{
}

TimePoint ManualClock::now() const
{
    std::lock_guard guard(m_lock);
    return m_now;
}

WallTime ManualClock::wallTime() const
{
    std::lock_guard guard(m_lock);
    return m_wallTime;
}

void ManualClock::advance(Duration step)
{
    std::lock_guard guard(m_lock);
    m_now += step;
    m_wallTime += std::chrono::duration_cast<WallTime::duration>(step);
}

} // namespace Lavenderloft::Base
