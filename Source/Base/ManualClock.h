#pragma once

#include "Base/Clock.h"

#include <mutex>

namespace Lavenderloft::Base {

// A clock that moves only when advance() is called, and by each reading if a time per reading is set.
class ManualClock final : public Clock {
public:
    explicit ManualClock(WallTime start = WallTime(std::chrono::hours(24 * 365 * 50)));

    TimePoint now() const override;
    WallTime wallTime() const override;

    // Advances monotonic and wall-clock time.
    void advance(Duration);

    // Time that passes with each reading of the monotonic time, as it does on a real clock.
    void setTimePerReading(Duration);

private:
    mutable std::mutex m_lock;
    mutable TimePoint m_now;
    WallTime m_wallTime;
    Duration m_timePerReading {};
};

} // namespace Lavenderloft::Base
