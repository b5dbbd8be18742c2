#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Lavenderloft::Dispatch {

// What a router knows of the limit that a target names, as routers tell each other.
struct LimitReport {
    std::string service;
    std::string target;
    uint64_t incarnation = 0;
    // Nothing if the target has no limit any more.
    std::optional<double> requestsPerSecond;
    // Time since the target said so.
    std::chrono::milliseconds age { 0 };
};

} // namespace Lavenderloft::Dispatch
