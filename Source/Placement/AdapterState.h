#pragma once

#include "Base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Lavenderloft::Placement {

// The adapter that is being sent to the engine, loaded or unloaded. Adapters are processed one at a time, because the
// engine accepts the chunks of a single manifest in order.
struct AdapterOperation {
    // Empty if no operation is in progress.
    std::string digest;
    bool isRemoval = false;
    // Incarnation of the engine that holds the chunks sent so far.
    uint64_t engineIncarnation = 0;
    unsigned nextChunk = 0;
    // When the load or unload order was sent to the engine.
    std::optional<Base::TimePoint> orderedAt;
};

// The agent's state of its replica's adapters, in addition to the list that the engine reports.
struct AdapterState {
    AdapterOperation operation;
    // Retry times of adapters whose orders failed.
    std::map<std::string, Base::TimePoint> retryAt;
    // Why an adapter is delayed, for operators; empty if none is.
    std::string reason;
};

} // namespace Lavenderloft::Placement
