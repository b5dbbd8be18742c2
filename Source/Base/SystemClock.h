#pragma once

#include "Base/Clock.h"

namespace Lavenderloft::Base {

// The clock of the operating system, based on CLOCK_BOOTTIME.
class SystemClock final : public Clock {
public:
    TimePoint now() const override;
    WallTime wallTime() const override;
};

} // namespace Lavenderloft::Base
