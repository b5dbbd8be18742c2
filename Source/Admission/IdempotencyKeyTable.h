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

// The answer of a completed call, to be given again when the call is resent.
struct StoredResponse {
    ResponseHead head;
    std::string body;
};

enum class KeyState {
    // An attempt holds a permit; nothing has run.
    Reserved,
    Running,
    Complete,
    // The target broke off; whether the call took effect is not known.
    OutcomeUnknown,
};

struct KeyRecord {
    KeyState state = KeyState::Reserved;
    std::string attemptId;
    uint64_t fingerprint = 0;
    Base::TimePoint firstUsed;
    Base::WallTime firstUsedWall;
    Base::TimePoint endedAt;
    // Null when the answer was too large to be kept.
    std::shared_ptr<const StoredResponse> answer;
};

// Bound on the difference between the clocks of any two VMs and callers.
inline constexpr std::chrono::seconds clockSkewBound { 5 };

// Time within which a new document is in force on all VMs that are not cut off; until then an old home of a
// key may still run calls.
inline constexpr std::chrono::seconds documentSpreadBound { 8 };

// Largest answer that is kept, in bytes of its body.
inline constexpr size_t maximumStoredResponseBytes = 64 * 1024;

// Calls that may not be repeated, by organisation and key.
class IdempotencyKeyTable {
public:
    explicit IdempotencyKeyTable(const Base::Clock& clock)
        : m_completeSince { clock.now(), clock.wallTime() }
    {
    }

    // Every call first used after this time, and not released, has a record.
    struct Horizon {
        Base::TimePoint time;
        Base::WallTime wallTime;
    };

    Horizon completeSince() const
    {
        std::lock_guard guard(m_lock);
        return m_completeSince;
    }

    // Moves the horizon forward to the first use of a record that is forgotten.
    void forgetUpTo(const KeyRecord& record)
    {
        std::lock_guard guard(m_lock);
        m_completeSince.time = std::max(m_completeSince.time, record.firstUsed);
        m_completeSince.wallTime = std::max(m_completeSince.wallTime, record.firstUsedWall);
    }

    // Takes over the VM names among which the homes of keys are chosen. When they change, another VM may have
    // run calls whose home is now here, so that the horizon moves. Names seen for the first time move nothing.
    // Returns whether the horizon moved.
    bool updateHomes(std::vector<std::string> vms, const Horizon& horizon)
    {
        std::sort(vms.begin(), vms.end());
        std::lock_guard guard(m_lock);
        bool moved = !m_homes.empty() && m_homes != vms;
        m_homes = std::move(vms);
        if (moved)
            m_completeSince = { std::max(m_completeSince.time, horizon.time), std::max(m_completeSince.wallTime, horizon.wallTime) };
        return moved;
    }

    // Bounds on records and on the bytes of stored answers.
    size_t maximumRecords = 100000;
    size_t maximumAnswerBytes = 16 * 1024 * 1024;

    Base::ShardedMap<std::string, KeyRecord> records;
    std::atomic<size_t> recordCount { 0 };
    std::atomic<size_t> answerBytes { 0 };

private:
    mutable std::mutex m_lock;
    Horizon m_completeSince;
    // Sorted names of the VMs among which the home of a key is chosen.
    std::vector<std::string> m_homes;
};

// The name of a call's record.
std::string keyName(const std::string& organisation, const std::string& key);

} // namespace Lavenderloft::Admission
