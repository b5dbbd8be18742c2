#pragma once

#include "Base/Clock.h"

#include <mutex>

namespace Lavenderloft::Weights {

// Recent failures of the weight store. A single record, so that one lock suffices. Modified by
// Commands/OriginCommands.h, read by Queries/OriginQueries.h.
struct OriginRecord {
    mutable std::mutex lock;
    // Consecutive failures.
    unsigned failures = 0;
    // No request is sent before this time.
    Base::TimePoint backoffUntil;
};

} // namespace Lavenderloft::Weights
