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
    m_now += m_timePerReading;
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

void ManualClock::setTimePerReading(Duration time)
{
    std::lock_guard guard(m_lock);
    m_timePerReading = time;
}

} // namespace Lavenderloft::Base
