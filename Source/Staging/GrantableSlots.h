#pragma once

#include "Staging/ColdStartLimiter.h"

namespace Lavenderloft::Staging {

// State that limits the slots granted with a load report. Modified by Commands/TakeGrantableSlots.
struct GrantableSlots {
    // Free slots at the previous report. A slot is granted only if it was free then too, because the router that has
    // just released it may use it again.
    unsigned previouslyFree = 0;
    ColdStartLimiter coldStart;
};

} // namespace Lavenderloft::Staging
