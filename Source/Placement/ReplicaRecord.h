#pragma once

#include "Base/Clock.h"
#include "Placement/AdapterState.h"
#include "Placement/ReplicaState.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Lavenderloft::Placement {

// The weights that this VM must serve.
struct DesiredReplica {
    std::string pool;
    std::string manifest;

    bool operator==(const DesiredReplica&) const = default;
};

// Longer than member reports take to propagate, so that all members have seen a claim before it takes effect.
inline constexpr std::chrono::milliseconds claimSettleTime { 2000 };

// An assignment must be stable for this long before it takes effect, because the member list is incomplete at start-up.
inline constexpr std::chrono::milliseconds assignmentSettleTime { 2000 };

// Delay before a failed replica or adapter is retried.
inline constexpr std::chrono::milliseconds retryDelay { 2000 };

// An engine that does not report the load within this time after the order is considered to have refused it.
inline constexpr std::chrono::milliseconds loadAcceptanceTime { 2000 };

// Progress of sending weights to the engine.
struct EngineUpload {
    // Whether the claim is confirmed. From then on no permits are granted.
    bool hasStarted = false;
    // Incarnation of the engine that holds the chunks sent so far.
    uint64_t engineIncarnation = 0;
    bool isManifestSent = false;
    unsigned nextChunk = 0;
    std::optional<Base::TimePoint> loadOrderedAt;
};

// A load order whose effect on the engine is not known. Until it is, the engine may accept the order and abort its
// requests.
struct UnsettledLoad {
    std::string manifest;
    uint64_t fence = 0;
    // Incarnation of the engine to which the order was sent.
    uint64_t engineIncarnation = 0;
    Base::TimePoint sentAt;
    // When to send the next order that voids this one.
    Base::TimePoint voidAt;
};

// The agent's state of the replica on its VM. Not thread-safe.
struct ReplicaRecord {
    ReplicaState state;
    DesiredReplica wanted;
    EngineUpload upload;
    // The last load order, which may concern weights that are no longer wanted.
    std::optional<UnsettledLoad> unsettledLoad;
    AdapterState adapters;
    Base::TimePoint claimedAt;
    Base::TimePoint retryAt;
    std::string reason;
    // Highest fencing token sent.
    uint64_t lastFence = 0;
    // Pool of each model version, from all documents since the start of the process.
    std::map<std::string, std::string> poolOfManifest;
    // Adapters that the document in force lists, by pool.
    std::map<std::string, std::set<std::string>> adaptersOfPool;
    // The latest assignment, and since when it has been stable.
    std::optional<DesiredReplica> proposed;
    Base::TimePoint proposedSince;
};

} // namespace Lavenderloft::Placement
