#pragma once

#include "Base/Clock.h"
#include "Base/ShardedMap.h"
#include "Membership/Member.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Membership {

// The view that this process has of all processes of the system, itself included. Sharded by VM name;
// the operations in Commands/ change it, those in Queries/ read it.
class MemberTable {
public:
    struct Entry {
        Member member;
        // When the status last changed.
        Base::TimePoint statusSince {};
        // When this state of the member was learnt.
        Base::TimePoint changedAt {};
        // In how many messages this state of the member was sent on.
        unsigned timesSent = 0;
        // The same for messages to other data centres, which carry the shared part only.
        unsigned timesSentAcross = 0;
    };

    using Entries = Base::ShardedMap<std::string, Entry>;

    // Members of other data centres than the given one are kept by their shared part only.
    MemberTable(std::string selfVm, std::string dataCentre)
        : m_selfVm(std::move(selfVm))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    const std::string& selfVm() const { return m_selfVm; }
    const std::string& dataCentre() const { return m_dataCentre; }

    Entries& entries() { return m_entries; }
    const Entries& entries() const { return m_entries; }

    // Hash over identity, versions and status of all members; equal views of one data centre have equal hashes.
    uint64_t viewHash() const { return m_viewHash.load(); }

    // Hash over identity, shared version and status of all members; equal in views of all data centres
    // whose shared parts are equal.
    uint64_t sharedViewHash() const { return m_sharedViewHash.load(); }

    // Number of changes of the view since the start.
    uint64_t changeCount() const { return m_changes.load(); }

    // The view in parts, each of which has a hash of its own, so that two processes whose views differ by a few
    // members find these without a page through the whole view.
    static constexpr size_t partCount = 32;
    using PartHashes = std::vector<uint32_t>;

    static size_t partOf(const std::string& vm);
    PartHashes partHashes() const { return reduce(m_partHashes); }
    PartHashes sharedPartHashes() const { return reduce(m_sharedPartHashes); }

    // Contribution of one member to the hashes of the view; zero in both stands for an absent member.
    struct Hashes {
        uint64_t full = 0;
        uint64_t shared = 0;
        size_t part = 0;
    };

    static Hashes hashesOf(const Member&);

    // Accounts for a change of an entry.
    void recordChange(const Hashes& before, const Hashes& after);

private:
    using Hashes64 = std::array<std::atomic<uint64_t>, partCount>;

    static PartHashes reduce(const Hashes64&);

    const std::string m_selfVm;
    const std::string m_dataCentre;
    Entries m_entries;
    std::atomic<uint64_t> m_viewHash { 0 };
    std::atomic<uint64_t> m_sharedViewHash { 0 };
    Hashes64 m_partHashes {};
    Hashes64 m_sharedPartHashes {};
    std::atomic<uint64_t> m_changes { 0 };
};

} // namespace Lavenderloft::Membership
