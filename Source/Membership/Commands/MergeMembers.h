#pragma once

#include "Base/Clock.h"
#include "Membership/Member.h"
#include "Membership/MemberTable.h"

#include <vector>

namespace Lavenderloft::Membership::Commands {

// Merges received member records into the view. The record with the higher incarnation wins, then the higher
// version, then the greater status. For members of other data centres only the shared part is stored, and the
// shared version is compared. A report that this process is suspect or dead is refuted by incrementing this
// process's version.
class MergeMembers {
public:
    explicit MergeMembers(MemberTable& table)
        : m_table(table)
    {
    }

    void execute(const std::vector<Member>& reports, Base::TimePoint now);

private:
    void mergeOther(const Member& report, Base::TimePoint now);
    void mergeShared(const Member& report, Base::TimePoint now);
    void add(MemberTable::Entries::Entries&, const Member& report, Base::TimePoint now);
    void replace(MemberTable::Entry&, const Member& report, Base::TimePoint now);
    void mergeSelf(const Member& report, Base::TimePoint now);

    MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Commands
