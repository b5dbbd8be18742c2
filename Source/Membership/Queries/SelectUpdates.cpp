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

    // An update that each receiver sends this many times reaches nearly all `processes`; the pages exchanged
    // for differing views cover the rest.
    unsigned transmissionLimit(size_t processes)
    {
        return 2 + static_cast<unsigned>(std::bit_width(processes));
    }

    // Number of processes that an update must reach: the members of the local data centre, or the relays of all
    // data centres.
    size_t countReceivers(const MemberTable& table, RecordScope scope)
    {
        size_t localMembers = 0;
        std::set<std::string> dataCentres;
        table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
            localMembers += entry.member.dataCentre == table.dataCentre();
            if (scope == RecordScope::Shared)
                dataCentres.insert(entry.member.dataCentre);
        });
        return scope == RecordScope::Full ? localMembers : dataCentres.size() * relaysPerDataCentre;
    }

    struct Candidate {
        unsigned transmitCount = 0;
        Base::TimePoint changedAt;
        Member member;
    };

    Member applyScope(const Member& member, RecordScope scope)
    {
        return scope == RecordScope::Full ? member : member.sharedPart();
    }

} // namespace

std::vector<Member> SelectUpdates::recent(RecordScope scope) const
{
    auto limit = transmissionLimit(countReceivers(m_table, scope));
    std::vector<Candidate> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        auto transmitCount = scope == RecordScope::Full ? entry.transmitCount : entry.sharedTransmitCount;
        if (vm != m_table.selfVm() && transmitCount < limit)
            candidates.push_back({ transmitCount, entry.changedAt, applyScope(entry.member, scope) });
    });
    auto count = std::min(maximumUpdatesPerMessage, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(count), candidates.end(),
        [](auto& a, auto& b) { return std::tie(a.transmitCount, b.changedAt) < std::tie(b.transmitCount, a.changedAt); });
    std::vector<Member> updates { applyScope(LiveMembers(m_table).self(), scope) };
    for (size_t i = 0; i < count; ++i)
        updates.push_back(std::move(candidates[i].member));
    return updates;
}

MemberPage SelectUpdates::page(uint64_t cursor, size_t count, RecordScope scope, const PartSet& parts) const
{
    std::vector<std::pair<uint64_t, Member>> candidates;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        auto position = Base::stableHash(vm);
        if (position > cursor && parts[MemberTable::partOf(vm)])
            candidates.emplace_back(position, applyScope(entry.member, scope));
    });
    MemberPage page;
    auto pageSize = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<long>(pageSize), candidates.end(),
        [](auto& a, auto& b) { return a.first < b.first; });
    for (size_t i = 0; i < pageSize; ++i)
        page.members.push_back(std::move(candidates[i].second));
    page.nextCursor = pageSize < candidates.size() ? candidates[pageSize - 1].first : 0;
    return page;
}

} // namespace Lavenderloft::Membership::Queries
