#pragma once

#include <chrono>

namespace Lavenderloft::Base {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Source of time for every decision, so that tests can set it by hand.
class Clock {
public:
    virtual ~Clock() = default;

    // Time that never goes back and that includes the time for which the VM was suspended.
    virtual TimePoint now() const = 0;

    // Time of day, which may be set back by an operator.
    virtual WallTime wallTime() const = 0;
};

} // namespace Lavenderloft::Base
