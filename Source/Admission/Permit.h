#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

// Longer than the upload of a request body normally takes, shorter than the time in which a drain must take effect.
inline constexpr std::chrono::milliseconds permitLifetime { 2000 };

// Single-use admission of one request at this target. Expires on the agent's clock.
struct Permit {
    std::string id;
    std::string attemptId;
    uint64_t agentIncarnation = 0;
    uint64_t engineIncarnation = 0;
    // The permit is valid only while the table has the same epoch.
    uint64_t epoch = 0;
    Base::TimePoint expiresAt;
    uint64_t bodyBytes = 0;
    uint64_t fingerprint = 0;
    // Digest of the requested adapter; empty for the base model.
    std::string adapter;
};

} // namespace Lavenderloft::Admission
