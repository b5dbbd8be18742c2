#pragma once

#include "Admission/AdmissionRequest.h"
#include "Admission/TargetPort.h"
#include "Base/Clock.h"
#include "Base/ShardedMap.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Lavenderloft::Admission {

// Response of a completed call, returned again when the call is resent.
struct StoredResponse {
    ResponseHead head;
    std::string body;
};

enum class KeyState {
    // An attempt holds a permit but has not started.
    Reserved,
    Running,
    Complete,
    // The target broke off. The call may have taken effect.
    OutcomeUnknown,
};

struct KeyRecord {
    KeyState state = KeyState::Reserved;
    std::string attemptId;
    uint64_t fingerprint = 0;
    Base::TimePoint firstUsed;
    Base::WallTime firstUsedWall;
    Base::TimePoint endedAt;
    // Null if the response was not stored.
    std::shared_ptr<const StoredResponse> response;
};

// Maximum difference between the clocks of any two VMs or callers.
inline constexpr std::chrono::seconds clockSkewBound { 5 };

// Time within which a new desired state is in force on all reachable VMs. Until then, the previous home of a key
// may still run calls.
inline constexpr std::chrono::seconds documentPropagationBound { 8 };

// Maximum body size of a stored response.
inline constexpr size_t maximumStoredResponseBytes = 64 * 1024;

// Non-repeatable calls by organisation and key.
class IdempotencyKeyTable {
public:
    explicit IdempotencyKeyTable(const Base::Clock& clock)
        : m_horizon { clock.now(), clock.wallTime() }
    {
    }

    // Every key first used after this time, unless released, has a record.
    struct Horizon {
        Base::TimePoint time;
        Base::WallTime wallTime;
    };

    Horizon horizon() const
    {
        std::lock_guard guard(m_lock);
        return m_horizon;
    }

    // Advances the horizon to the first use of a record that is about to be removed.
    void advanceHorizon(const KeyRecord& record)
    {
        std::lock_guard guard(m_lock);
        m_horizon.time = std::max(m_horizon.time, record.firstUsed);
        m_horizon.wallTime = std::max(m_horizon.wallTime, record.firstUsedWall);
    }

    // Sets the VMs among which the homes of keys are chosen. If they have changed, another VM may have run calls
    // whose home is now this VM, so the horizon advances. The first call does not advance it. Returns whether the
    // horizon has advanced.
    bool updateHomes(std::vector<std::string> vms, const Horizon& horizon)
    {
        std::sort(vms.begin(), vms.end());
        std::lock_guard guard(m_lock);
        bool hasChanged = !m_homes.empty() && m_homes != vms;
        m_homes = std::move(vms);
        if (hasChanged)
            m_horizon = { std::max(m_horizon.time, horizon.time), std::max(m_horizon.wallTime, horizon.wallTime) };
        return hasChanged;
    }

    // Limits on the number of records and on the total size of stored responses.
    size_t maximumRecords = 100000;
    size_t maximumResponseBytes = 16 * 1024 * 1024;

    Base::ShardedMap<std::string, KeyRecord> records;
    std::atomic<size_t> recordCount { 0 };
    std::atomic<size_t> responseBytes { 0 };

private:
    mutable std::mutex m_lock;
    Horizon m_horizon;
    // Sorted.
    std::vector<std::string> m_homes;
};

// Returns the key of a call's record.
std::string keyName(const std::string& organisation, const std::string& key);

} // namespace Lavenderloft::Admission
