#pragma once

#include "Base/Clock.h"

#include <chrono>

namespace Lavenderloft::Scheduling::Queries {

// Predicted times to the first event.
struct SpillWaits {
    Base::Duration home {};
    // In another data centre, with the way there and back.
    Base::Duration away {};
};

// Whether a request goes to another data centre although there is free capacity at home. The wait at home must exceed the
// other one by a margin, and by half of the margin if the requests before it went away as well.
bool shouldSpill(const SpillWaits&, std::chrono::milliseconds targetLatency, bool isSpilling);

} // namespace Lavenderloft::Scheduling::Queries
