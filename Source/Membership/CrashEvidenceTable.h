#pragma once

#include "Base/ShardedMap.h"
#include "Membership/GossipMessage.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// Evidence of crashes on its way through the fleet. Bounded in number and time.
class CrashEvidenceTable {
public:
    static constexpr std::chrono::minutes retention { 10 };
    static constexpr size_t maximumEntries = 1024;
    // Evidence is sent on for this long, which is longer than gossip needs to reach every process.
    static constexpr std::chrono::seconds sendTime { 20 };
    static constexpr size_t maximumPerMessage = 32;

    void merge(const std::vector<CrashEvidence>&, Base::TimePoint now);

    std::vector<CrashEvidence> recent(Base::TimePoint now) const;

    // What the next message carries.
    std::vector<CrashEvidence> selectForMessage(Base::TimePoint now) const;

    uint64_t changeCount() const { return m_changes.load(); }

private:
    struct Entry {
        CrashEvidence evidence;
        Base::TimePoint at;
    };

    // By fingerprint and target.
    Base::ShardedMap<std::string, Entry> m_entries;
    std::atomic<uint64_t> m_changes { 0 };
};

} // namespace Lavenderloft::Membership
