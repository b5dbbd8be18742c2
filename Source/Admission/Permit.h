#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

// Longer than any healthy upload of a request body, shorter than the time in which a drain must take effect.
inline constexpr std::chrono::milliseconds permitLifetime { 2000 };

// The right to run one request once at this target, before it expires on the agent's clock.
struct Permit {
    std::string id;
    std::string attemptId;
    uint64_t agentIncarnation = 0;
    uint64_t engineIncarnation = 0;
    // Valid only while the table's epoch is the same.
    uint64_t epoch = 0;
    Base::TimePoint expiresAt;
    uint64_t bodyBytes = 0;
    uint64_t fingerprint = 0;
    // Digest of the adapter that is to answer; empty for the base model.
    std::string adapter;
};

} // namespace Lavenderloft::Admission
