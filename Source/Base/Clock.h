#pragma once

#include <chrono>

namespace Lavenderloft::Base {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Source of time for all decisions; tests substitute a ManualClock.
class Clock {
public:
    virtual ~Clock() = default;

    // Monotonic time that includes the time during which the VM was suspended.
    virtual TimePoint now() const = 0;

    // Wall-clock time, which an operator may set back.
    virtual WallTime wallTime() const = 0;
};

} // namespace Lavenderloft::Base
