#include "Base/SystemClock.h"

#include <ctime>

namespace Lavenderloft::Base {

TimePoint SystemClock::now() const
{
    // std::chrono::steady_clock stops while a VM is suspended, but leases and permits must expire meanwhile.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallTime() const
{
    return std::chrono::system_clock::now();
}

} // namespace Lavenderloft::Base
