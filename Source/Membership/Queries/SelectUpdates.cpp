#include "Membership/Queries/SelectUpdates.h"

#include "Base/RendezvousHash.h"
#include "Membership/Queries/LiveMembers.h"

#include <algorithm>
#include <bit>

namespace Lavenderloft::Membership::Queries {

namespace {

    // An update sent this often by each process that learns of it reaches nearly all; the pages of
    // differing views reach the rest.
    unsigned transmissionLimit(size_t members)
    {
        return 2 + static_cast<unsigned>(std::bit_width(members));
    }

} // namespace

std::vector<Member> SelectUpdates::recent() const
{
    auto limit = transmissionLimit(m_table.entries().size());
    std::vector<std::pair<unsigned, Member>> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        if (vm != m_table.selfVm() && entry.timesSent < limit)
            candidates.emplace_back(entry.timesSent, entry.member);
    });
    auto count = std::min(maximumUpdates, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(count), candidates.end(),
        [](auto& a, auto& b) { return a.first < b.first; });
    std::vector<Member> updates { LiveMembers(m_table).self() };
    for (size_t i = 0; i < count; ++i)
        updates.push_back(std::move(candidates[i].second));
    return updates;
}

MemberPage SelectUpdates::page(uint64_t cursor, size_t count) const
{
    std::vector<std::pair<uint64_t, Member>> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        auto position = Base::stableHash(vm);
        if (position > cursor)
            candidates.emplace_back(position, entry.member);
    });
    MemberPage page;
    auto taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(taken), candidates.end(),
        [](auto& a, auto& b) { return a.first < b.first; });
    for (size_t i = 0; i < taken; ++i)
        page.members.push_back(std::move(candidates[i].second));
    page.nextCursor = taken < candidates.size() ? candidates[taken - 1].first : 0;
    return page;
}

} // namespace Lavenderloft::Membership::Queries
