#include "Membership/Queries/LiveMembers.h"

#include <algorithm>

namespace Lavenderloft::Membership::Queries {

std::vector<Member> LiveMembers::all() const
{
    std::vector<Member> members;
    m_table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
        if (entry.member.status != Status::Dead)
            members.push_back(entry.member);
    });
    std::sort(members.begin(), members.end(), [](const Member& a, const Member& b) { return a.vm < b.vm; });
    return members;
}

std::optional<Member> LiveMembers::find(const std::string& vm) const
{
    auto entry = m_table.entries().find(vm);
    if (!entry)
        return std::nullopt;
    return entry->member;
}

Member LiveMembers::self() const
{
    return find(m_table.selfVm()).value_or(Member {});
}

} // namespace Lavenderloft::Membership::Queries
