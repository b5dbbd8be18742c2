#pragma once

// Admission decides at the target's side which requests may run. The agent grants single-use permits on
// its own clock, bounded by the target's limits; classes and organisations share them fairly, and calls
// that may not be repeated are remembered by key.

#include "Admission/Occupancy.h"
#include "Admission/Permit.h"
#include "Base/ShardedMap.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace Lavenderloft::Admission {

enum class AttemptState {
    // A permit is out; nothing has run.
    Granted,
    Running,
    Complete,
    // The target broke off during the run.
    Broken,
    // The permit expired, was revoked or dropped; the attempt will not run.
    NotRun,
};

struct AttemptRecord {
    AttemptState state = AttemptState::Granted;
    Permit permit;
    // Time of the last change of state.
    Base::TimePoint changedAt;
};

// For how long the outcome of an attempt can be asked for.
inline constexpr std::chrono::seconds outcomeRetention { 60 };

// Bound on records kept; beyond it ended attempts are forgotten early and resolve to unknown.
inline constexpr size_t maximumAttemptRecords = 65536;

// Attempts at one target and the slots that they hold.
class PermitTable {
public:
    explicit PermitTable(uint64_t incarnationOfAgent)
        : agentIncarnation(incarnationOfAgent)
    {
    }

    const uint64_t agentIncarnation;
    std::atomic<uint64_t> engineIncarnation { 0 };
    // Increases whenever all unused permits are dropped. A permit that is being granted at that moment, and so
    // escapes the search for unused ones, carries the previous epoch.
    std::atomic<uint64_t> epoch { 0 };
    Occupancy occupancy;
    Base::ShardedMap<std::string, AttemptRecord> attempts;
};

} // namespace Lavenderloft::Admission
