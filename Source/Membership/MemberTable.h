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

// This process's view of all members of the fleet, including itself. Sharded by VM name; modified by the
// classes in Commands/ and read by those in Queries/.
class MemberTable {
public:
    struct Entry {
        Member member;
        Base::TimePoint statusSince {};
        // When the record or its status last changed.
        Base::TimePoint changedAt {};
        // Number of messages that carried this version of the record.
        unsigned transmitCount = 0;
        // Number of messages to other data centres that carried this version of the shared part.
        unsigned sharedTransmitCount = 0;
    };

    using Entries = Base::ShardedMap<std::string, Entry>;

    // For members outside `dataCentre` only the shared part is stored.
    MemberTable(std::string selfVm, std::string dataCentre)
        : m_selfVm(std::move(selfVm))
        , m_dataCentre(std::move(dataCentre))
    {
    }

    const std::string& selfVm() const { return m_selfVm; }
    const std::string& dataCentre() const { return m_dataCentre; }

    Entries& entries() { return m_entries; }
    const Entries& entries() const { return m_entries; }

    // Hash of the identity, versions and status of all members. Processes of one data centre whose views are
    // equal have equal hashes.
    uint64_t viewHash() const { return m_viewHash.load(); }

    // Hash of the identity, shared version and status of all members, for comparison between data centres.
    uint64_t sharedViewHash() const { return m_sharedViewHash.load(); }

    // Number of changes of the view since the process started.
    uint64_t changeCount() const { return m_changes.load(); }

    // The view is partitioned by the hash of the VM name. Each part has its own hash, so that two processes
    // whose views differ in a few members find them without paging through the whole view.
    static constexpr size_t partCount = 32;
    using PartHashes = std::vector<uint32_t>;

    static size_t partOf(const std::string& vm);
    PartHashes partHashes() const { return truncate(m_partHashes); }
    PartHashes sharedPartHashes() const { return truncate(m_sharedPartHashes); }

    // Contribution of one member to the view hashes; zero for an absent member.
    struct Hashes {
        uint64_t full = 0;
        uint64_t shared = 0;
        size_t part = 0;
    };

    static Hashes hashesOf(const Member&);

    // Updates the view hashes after a change of an entry.
    void recordChange(const Hashes& before, const Hashes& after);

private:
    using AtomicHashes = std::array<std::atomic<uint64_t>, partCount>;

    static PartHashes truncate(const AtomicHashes&);

    const std::string m_selfVm;
    const std::string m_dataCentre;
    Entries m_entries;
    std::atomic<uint64_t> m_viewHash { 0 };
    std::atomic<uint64_t> m_sharedViewHash { 0 };
    AtomicHashes m_partHashes {};
    AtomicHashes m_sharedPartHashes {};
    std::atomic<uint64_t> m_changes { 0 };
};

} // namespace Lavenderloft::Membership
