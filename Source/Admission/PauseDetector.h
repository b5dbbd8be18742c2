#pragma once

#include "Base/Clock.h"

#include <atomic>
#include <chrono>

namespace Lavenderloft::Admission {

// A process that did not run for longer than this must not act on what it knew before.
inline constexpr std::chrono::milliseconds pauseLimit { 2000 };

// Tells from the ticks of a timer whether the process was paused. Until `resume` it counts as paused,
// also at its start.
class PauseDetector {
public:
    explicit PauseDetector(const Base::Clock& clock)
        : m_clock(clock)
        , m_lastTick(clock.now().time_since_epoch())
    {
    }

    // Notes a tick; true if the process was paused since the last one.
    bool tick()
    {
        auto now = m_clock.now().time_since_epoch();
        bool paused = now - m_lastTick.exchange(now) > pauseLimit;
        if (paused)
            m_isResumed = false;
        return paused;
    }

    // Notes that the state of the engine was learnt anew.
    void resume() { m_isResumed = true; }

    // Whether the process may act. Looks at the clock, so that a thread that wakes before the timer sees the pause.
    bool isRunning() const
    {
        return m_isResumed && m_clock.now().time_since_epoch() - m_lastTick.load() <= pauseLimit;
    }

private:
    const Base::Clock& m_clock;
    std::atomic<Base::Duration> m_lastTick;
    std::atomic<bool> m_isResumed { false };
};

} // namespace Lavenderloft::Admission
