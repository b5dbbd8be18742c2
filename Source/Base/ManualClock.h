#pragma once

#include "Base/Clock.h"

#include <mutex>

namespace Lavenderloft::Base {

// A clock that moves only when advance() is called.
class ManualClock final : public Clock {
public:
    explicit ManualClock(WallTime start = WallTime(std::chrono::hours(24 * 365 * 50)));

    TimePoint now() const override;
    WallTime wallTime() const override;

    // Advances monotonic and wall-clock time.
    void advance(Duration);

private:
    mutable std::mutex m_lock;
    TimePoint m_now;
    WallTime m_wallTime;
};

} // namespace Lavenderloft::Base
