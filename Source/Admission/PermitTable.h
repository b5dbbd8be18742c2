#pragma once

// Admission decides in the agent which requests may run at its target. The agent grants single-use permits within the
// target's limits, with expiry on its own clock. Classes and organisations share the slots fairly, and non-repeatable
// calls are recorded by idempotency key.

#include "Admission/Occupancy.h"
#include "Admission/Permit.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

enum class AttemptState {
    // A permit was granted but not used.
    Granted,
    Running,
    Complete,
    // The target broke off while the attempt was running.
    Broken,
    // The permit expired or was revoked. The attempt will not run.
    NotRun,
};

struct AttemptRecord {
    AttemptState state = AttemptState::Granted;
    Permit permit;
    // Time of the last state change.
    Base::TimePoint changedAt;
};

// Time for which the outcome of an attempt is kept.
inline constexpr std::chrono::seconds outcomeRetention { 60 };

// Maximum number of records. Beyond it, ended attempts are removed early and their outcome is reported as unknown.
inline constexpr size_t maximumAttemptRecords = 65536;

// Attempts at a target and the slots in use.
class PermitTable {
public:
    explicit PermitTable(uint64_t incarnationOfAgent)
        : agentIncarnation(incarnationOfAgent)
    {
    }

    const uint64_t agentIncarnation;
    std::atomic<uint64_t> engineIncarnation { 0 };
    // Incremented whenever all unused permits are revoked. A permit that is being granted at the same time is missed
    // by the search for unused ones, but has the previous epoch.
    std::atomic<uint64_t> epoch { 0 };
    Occupancy occupancy;
    Base::ShardedMap<std::string, AttemptRecord> attempts;
};

} // namespace Lavenderloft::Admission
