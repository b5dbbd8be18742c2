#include "Membership/Queries/SelectUpdates.h"

#include "Base/RendezvousHash.h"
#include "Membership/Queries/LiveMembers.h"
#include "Membership/Queries/SelectPeers.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>

namespace Lavenderloft::Membership::Queries {

namespace {

    // An update sent this often by each process that learns of it reaches nearly all of the given number;
    // the pages of differing views reach the rest.
    unsigned transmissionLimit(size_t processes)
    {
        return 2 + static_cast<unsigned>(std::bit_width(processes));
    }

    // Processes among which updates of the extent spread: those of the data centre, or the relays of all.
    size_t countReceivers(const MemberTable& table, Extent extent)
    {
        size_t own = 0;
        std::set<std::string> dataCentres;
        table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
            own += entry.member.dataCentre == table.dataCentre();
            if (extent == Extent::Shared)
                dataCentres.insert(entry.member.dataCentre);
        });
        return extent == Extent::Full ? own : dataCentres.size() * relaysPerDataCentre;
    }

    struct Candidate {
        unsigned timesSent = 0;
        Base::TimePoint changedAt;
        Member member;
    };

    Member reduce(const Member& member, Extent extent)
    {
        return extent == Extent::Full ? member : member.sharedPart();
    }

} // namespace

std::vector<Member> SelectUpdates::recent(Extent extent) const
{
    auto limit = transmissionLimit(countReceivers(m_table, extent));
    std::vector<Candidate> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        auto timesSent = extent == Extent::Full ? entry.timesSent : entry.timesSentAcross;
        if (vm != m_table.selfVm() && timesSent < limit)
            candidates.push_back({ timesSent, entry.changedAt, reduce(entry.member, extent) });
    });
    auto count = std::min(maximumUpdates, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(count), candidates.end(),
        [](auto& a, auto& b) { return std::tie(a.timesSent, b.changedAt) < std::tie(b.timesSent, a.changedAt); });
    std::vector<Member> updates { reduce(LiveMembers(m_table).self(), extent) };
    for (size_t i = 0; i < count; ++i)
        updates.push_back(std::move(candidates[i].member));
    return updates;
}

MemberPage SelectUpdates::page(uint64_t cursor, size_t count, Extent extent, const PartSet& parts) const
{
    std::vector<std::pair<uint64_t, Member>> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        auto position = Base::stableHash(vm);
        if (position > cursor && parts[MemberTable::partOf(vm)])
            candidates.emplace_back(position, reduce(entry.member, extent));
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
