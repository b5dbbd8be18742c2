#pragma once

#include "Membership/MemberTable.h"

#include <bitset>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// With about 200 bytes per member, one exchange per second in each direction and pages for differing views, this
// limits the gossip traffic of a process in a large fleet to 12 KB/s.
inline constexpr size_t maximumUpdatesPerMessage = 10;

// Members in one page for a peer that lacks many members.
inline constexpr size_t fullPageSize = 256;

// Which part of a member record a message carries.
enum class RecordScope {
    // The shared part, for peers in other data centres.
    Shared,
    // The complete record, for peers in the local data centre.
    Full,
};

using PartSet = std::bitset<MemberTable::partCount>;

// A page of the view in the order of VM name hashes.
struct MemberPage {
    std::vector<Member> members;
    // Position of the last member; zero if the page reaches the end of the view.
    uint64_t nextCursor = 0;
};

// Selects the member records of a gossip message.
class SelectUpdates {
public:
    explicit SelectUpdates(const MemberTable& table)
        : m_table(table)
    {
    }

    // This process's own record, followed by changed records that have not reached their transmission limit.
    // The least transmitted come first, then the most recently changed, so that a refuted suspicion does not queue
    // behind the members that a new process has just learnt.
    std::vector<Member> recent(RecordScope) const;

    // Up to `count` members of the given parts after the position `cursor`, for a peer whose view differs.
    MemberPage page(uint64_t cursor, size_t count, RecordScope, const PartSet&) const;

private:
    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
