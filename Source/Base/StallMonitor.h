#pragma once

#include "Base/Clock.h"

#include <atomic>
#include <chrono>

namespace Lavenderloft::Base {

// Detects that an event loop stood still: its VM was suspended, its process stopped or starved of processor time. What
// arrived meanwhile is handled late, so an age that was measured by its arrival would be too small.
class StallMonitor {
public:
    // A loop that is later than this counts as stalled.
    static constexpr std::chrono::milliseconds tolerance { 200 };

    // The loop calls tick() at this interval.
    StallMonitor(const Clock& clock, std::chrono::milliseconds tickInterval)
        : m_clock(clock)
        , m_limit(tickInterval + tolerance)
        , m_lastTick(clock.now().time_since_epoch())
    {
    }

    void tick()
    {
        auto now = m_clock.now().time_since_epoch();
        if (now - m_lastTick.exchange(now) > m_limit)
            m_lastStallEnd = now;
    }

    // Whether the loop stood still at some time after the given one, or has just resumed and not ticked yet.
    bool hasStalledSince(TimePoint time) const
    {
        bool isResuming = m_clock.now().time_since_epoch() - m_lastTick.load() > m_limit;
        return isResuming || m_lastStallEnd.load() > time.time_since_epoch();
    }

private:
    const Clock& m_clock;
    const Duration m_limit;
    std::atomic<Duration> m_lastTick;
    std::atomic<Duration> m_lastStallEnd { Duration::min() };
};

} // namespace Lavenderloft::Base
