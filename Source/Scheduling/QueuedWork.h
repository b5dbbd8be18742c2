#pragma once

// Scheduling decides on load: which request is served next, who waits and who is refused, and where work goes. The module
// holds no sockets, clocks or locks: callers pass facts and times, and guard the state.

#include <cstdint>
#include <string_view>

namespace Lavenderloft::Scheduling {

// Size of a generation; zero if the request is none, or if the caller did not say.
struct RequestSize {
    uint64_t promptTokens = 0;
    // The caller's estimate, or else the maximum.
    uint64_t outputTokens = 0;
};

// What the order of a queue depends on.
struct QueuedWork {
    // 0 is the most urgent.
    int urgency = 0;
    // A target ran the request and broke off, or has it and is silent.
    bool isInterrupted = false;
    // Empty if the configuration names no organisations.
    std::string_view organisation;
    RequestSize size;
    // Predicted work, see WorkEstimator.
    double work = 1;
    // Position in the fair order of the organisations, see FairShares.
    double startTag = 0;
};

} // namespace Lavenderloft::Scheduling
