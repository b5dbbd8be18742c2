#pragma once

#include "Base/Clock.h"

#include <mutex>

namespace Lavenderloft::Weights {

// How the weight store has answered lately. It is one record and needs one lock only.
// Commands/OriginCommands.h changes it, Queries/OriginQueries.h reads it.
struct OriginRecord {
    mutable std::mutex lock;
    // Failures in sequence.
    unsigned failures = 0;
    // Nothing is asked before this time.
    Base::TimePoint pauseUntil;
};

} // namespace Lavenderloft::Weights
