#pragma once

#include "Membership/MemberTable.h"

#include <bitset>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Updates in one message. With about 200 bytes a member, one exchange a second in each direction and pages
// for differing views, this bounds the traffic of a process in a large fleet by 12 KB a second.
inline constexpr size_t maximumUpdates = 10;

// Members in one page sent to a process that knows far fewer.
inline constexpr size_t maximumPage = 256;

// How much of a record a message carries.
enum class Extent {
    // The shared part, for other data centres.
    Shared,
    // All that is known, for the own data centre.
    Full,
};

using PartSet = std::bitset<MemberTable::partCount>;

// Some members of the view in the order of member hashes.
struct MemberPage {
    std::vector<Member> members;
    // Position after the last member; zero when the page reached the end.
    uint64_t nextCursor = 0;
};

// Chooses what to tell a peer.
class SelectUpdates {
public:
    explicit SelectUpdates(const MemberTable& table)
        : m_table(table)
    {
    }

    // Changed members that have been sent fewer times than the spread through the data centre, or among the
    // relays of all data centres, needs, the least sent first, and of these the newest, so that a refuted suspicion
    // does not queue behind the members that a new process has just learnt. This process's own record is always the first.
    std::vector<Member> recent(Extent) const;

    // Members of the given parts after a position, for a peer whose view differs.
    MemberPage page(uint64_t cursor, size_t count, Extent, const PartSet&) const;

private:
    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
