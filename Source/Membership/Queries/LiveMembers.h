#pragma once

#include "Membership/MemberTable.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Membership::Queries {

// Looks up members in the view.
class LiveMembers {
public:
    explicit LiveMembers(const MemberTable& table)
        : m_table(table)
    {
    }

    // All members that are not dead, sorted by VM name.
    std::vector<Member> all() const;

    std::optional<Member> find(const std::string& vm) const;

    Member self() const;

private:
    const MemberTable& m_table;
};

} // namespace Lavenderloft::Membership::Queries
