#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Lavenderloft::Placement {

// The adapter that is being delivered to the engine, loaded or unloaded. Only one is at a time, because the
// engine takes the chunks of one manifest in order.
struct AdapterStep {
    // Empty if none is under way.
    std::string digest;
    bool isRemoval = false;
    // Incarnation of the engine that holds the chunks sent so far.
    uint64_t engineIncarnation = 0;
    unsigned nextChunk = 0;
    // When the engine was ordered to load or unload it.
    std::optional<Base::TimePoint> orderedAt;
};

// What the agent remembers of the adapters of its replica, beside what the engine lists.
struct AdapterWork {
    AdapterStep step;
    // Adapters that the engine refused, and when they are tried again.
    std::map<std::string, Base::TimePoint> retryAt;
    // Why an adapter is late, for operators; empty if none is.
    std::string reason;
};

} // namespace Lavenderloft::Placement
