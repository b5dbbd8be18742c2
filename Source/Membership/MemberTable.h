#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Membership/Member.h"

#include <atomic>
#include <string>

namespace Lavenderloft::Membership {

// The view that this process has of all processes of the system, itself included. Sharded by VM name;
// the operations in Commands/ change it, those in Queries/ read it.
class MemberTable {
public:
    struct Entry {
        Member member;
        // When the status last changed.
        Base::TimePoint statusSince {};
        // In how many messages this state of the member was sent on.
        unsigned timesSent = 0;
    };

    using Entries = Base::ShardedMap<std::string, Entry>;

    explicit MemberTable(std::string selfVm)
        : m_selfVm(std::move(selfVm))
    {
    }

    const std::string& selfVm() const { return m_selfVm; }

    Entries& entries() { return m_entries; }
    const Entries& entries() const { return m_entries; }

    // Hash over identity, version and status of all members; equal views have equal hashes.
    uint64_t viewHash() const { return m_viewHash.load(); }

    // Number of changes of the view since the start.
    uint64_t changeCount() const { return m_changes.load(); }

    // Contribution of one member to the hash of the view.
    static uint64_t hashOf(const Member&);

    // Accounts for a change of an entry; zero stands for an absent one.
    void recordChange(uint64_t oldHash, uint64_t newHash);

private:
    const std::string m_selfVm;
    Entries m_entries;
    std::atomic<uint64_t> m_viewHash { 0 };
    std::atomic<uint64_t> m_changes { 0 };
};

} // namespace Lavenderloft::Membership
