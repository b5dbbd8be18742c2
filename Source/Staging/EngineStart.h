#pragma once

#include "Base/Clock.h"

#include <cstdint>

namespace Lavenderloft::Staging {

// When the local engine started last. Modified by Commands/RecordEngineStart.
struct EngineStart {
    // The last EngineReport::startedAt; 0 before the first report.
    uint64_t startedAt = 0;
    // An engine that restarted counts as cold until this time.
    Base::TimePoint coldUntil {};
};

} // namespace Lavenderloft::Staging
