#pragma once

#include "Base/Clock.h"

#include <atomic>
#include <chrono>

namespace Lavenderloft::Admission {

// A process that was paused for longer must not act on its previous state.
inline constexpr std::chrono::milliseconds pauseLimit { 2000 };

// Detects pauses of the process from the ticks of a timer. The process counts as paused at its start and after each
// pause, until `resume` is called.
class PauseDetector {
public:
    explicit PauseDetector(const Base::Clock& clock)
        : m_clock(clock)
        , m_lastTick(clock.now().time_since_epoch())
    {
    }

    // Records a tick. Returns true if the process was paused since the previous one.
    bool tick()
    {
        auto now = m_clock.now().time_since_epoch();
        bool paused = now - m_lastTick.exchange(now) > pauseLimit;
        if (paused)
            m_isResumed = false;
        return paused;
    }

    // Called when the state of the engine has been polled again.
    void resume() { m_isResumed = true; }

    // Whether the process may act. Checks the clock, so that a thread that resumes before the timer detects the pause.
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
