#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Standin {

// A text as it was published, which need not be a valid document.
struct PublishedDocument {
    uint64_t revision = 0;
    std::string text;
};

struct ConfigurationCounters {
    uint64_t reads = 0;
    uint64_t watches = 0;
    // Calls refused because the rate limit was exceeded.
    uint64_t limited = 0;
    // Calls cut off because the service was down.
    uint64_t cutOff = 0;
};

// What the configuration service holds; the lock guards all other members.
struct ConfigurationState {
    mutable std::mutex lock;
    std::vector<PublishedDocument> history;
    // Position in the history that readers are shown while the service is stale.
    std::optional<size_t> frozenAt;
    bool down = false;
    ConfigurationCounters counters;
};

} // namespace Lavenderloft::Standin
