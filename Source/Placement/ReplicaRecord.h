#pragma once

#include "Base/Clock.h"
#include "Placement/AdapterWork.h"
#include "Placement/ReplicaState.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Lavenderloft::Placement {

// Weights that this VM is to serve.
struct DesiredReplica {
    std::string pool;
    std::string manifest;

    bool operator==(const DesiredReplica&) const = default;
};

// Longer than members need to learn of each other's reports, so that a claim is seen before it is acted on.
inline constexpr std::chrono::milliseconds claimSettleTime { 2000 };

// An assignment must stay for this long before it is acted on: at the start the view of the members is incomplete.
inline constexpr std::chrono::milliseconds assignmentSettleTime { 2000 };

// Pause before a failed replica is tried again.
inline constexpr std::chrono::milliseconds retryDelay { 2000 };

// An engine that does not report loading this long after the order has refused it.
inline constexpr std::chrono::milliseconds loadAcceptanceTime { 2000 };

// How far the upload of weights to the engine has come.
struct Upload {
    // Whether the right to switch is settled: no permits are granted from here on.
    bool isBegun = false;
    // Incarnation of the engine that holds the chunks sent so far.
    uint64_t engineIncarnation = 0;
    bool isManifestSent = false;
    unsigned nextChunk = 0;
    std::optional<Base::TimePoint> loadOrderedAt;
};

// All that the agent remembers of the replica on its VM. Used by one thread.
struct ReplicaRecord {
    ReplicaState state;
    DesiredReplica wanted;
    Upload upload;
    AdapterWork adapters;
    Base::TimePoint claimedAt;
    Base::TimePoint retryAt;
    std::string reason;
    // Highest fencing token used.
    uint64_t lastFence = 0;
    // Pool that each model version belongs to, in all documents seen since the start.
    std::map<std::string, std::string> poolOfManifest;
    // Adapters that the document in force lists, by pool.
    std::map<std::string, std::set<std::string>> adaptersOfPool;
    // The newest assignment and since when it stays.
    std::optional<DesiredReplica> proposed;
    Base::TimePoint proposedSince;
};

} // namespace Lavenderloft::Placement
