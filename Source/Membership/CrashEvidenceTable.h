#pragma once

#include "Base/ShardedMap.h"
#include "Membership/GossipMessage.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// Crash evidence received from or to be gossiped to other processes. The number of entries and their age are bounded.
class CrashEvidenceTable {
public:
    static constexpr std::chrono::minutes retention { 10 };
    static constexpr size_t maximumEntries = 1024;
    // Age up to which evidence is gossiped; longer than gossip takes to reach every process.
    static constexpr std::chrono::seconds gossipDuration { 20 };
    static constexpr size_t maximumEntriesPerMessage = 32;

    void merge(const std::vector<CrashEvidence>&, Base::TimePoint now);

    std::vector<CrashEvidence> recent(Base::TimePoint now) const;

    // The most recent evidence, for the next gossip message.
    std::vector<CrashEvidence> selectForMessage(Base::TimePoint now) const;

    uint64_t changeCount() const { return m_changes.load(); }

private:
    struct Entry {
        CrashEvidence evidence;
        Base::TimePoint observedAt;
    };

    // Keyed by fingerprint and target.
    Base::ShardedMap<std::string, Entry> m_entries;
    std::atomic<uint64_t> m_changes { 0 };
};

} // namespace Lavenderloft::Membership
