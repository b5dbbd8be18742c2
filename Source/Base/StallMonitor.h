#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <optional>

namespace Lavenderloft::Base {

// Detects that an event loop stood still: its VM was suspended, its process stopped or starved of processor time. What
// arrived meanwhile is handled late, so an age that was measured by its arrival would be too small. Used by the tasks of
// that one loop.
class StallMonitor {
public:
    // A loop that is later than this counts as stalled.
    static constexpr std::chrono::milliseconds tolerance { 200 };

    // The loop calls tick() at this interval.
    StallMonitor(const Clock& clock, std::chrono::milliseconds tickInterval)
        : m_clock(clock)
        , m_limit(tickInterval + tolerance)
        , m_lastTick(clock.now())
    {
    }

    void tick()
    {
        auto now = m_clock.now();
        if (now - m_lastTick > m_limit)
            m_lastStallEnd = now;
        m_lastTick = now;
    }

    // Whether the loop stood still at some time after the given one, or has just resumed and not ticked yet.
    bool hasStalledSince(TimePoint time) const
    {
        bool isResuming = m_clock.now() - m_lastTick > m_limit;
        return isResuming || (m_lastStallEnd && *m_lastStallEnd > time);
    }

private:
    const Clock& m_clock;
    const Duration m_limit;
    TimePoint m_lastTick;
    std::optional<TimePoint> m_lastStallEnd;
};

} // namespace Lavenderloft::Base
