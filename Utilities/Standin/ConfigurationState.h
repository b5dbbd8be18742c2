#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// Document as published; its text need not be valid.
struct PublishedDocument {
    uint64_t revision = 0;
    std::string text;
};

struct ConfigurationCounters {
    uint64_t reads = 0;
    uint64_t watches = 0;
    // Calls rejected by the rate limit.
    uint64_t limited = 0;
    // Calls aborted while the service was down.
    uint64_t cutOff = 0;
};

// State of the configuration service; the lock guards all other members.
struct ConfigurationState {
    mutable std::mutex lock;
    std::vector<PublishedDocument> history;
    // Index into the history of the document that is served while the service is stale.
    std::optional<size_t> frozenAt;
    bool down = false;
    ConfigurationCounters counters;
};

} // namespace Lavenderloft::Standin
