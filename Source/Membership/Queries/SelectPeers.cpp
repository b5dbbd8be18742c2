#include "Membership/Queries/SelectPeers.h"

#include "Base/RendezvousHash.h"
#include "Membership/Queries/LiveMembers.h"

#include <algorithm>
#include <map>
#include <set>

namespace Lavenderloft::Membership::Queries {

namespace {

    constexpr auto relayKey = "data-centre-relays";

} // namespace

std::vector<Member> SelectPeers::inDataCentre(size_t count) const
{
    auto candidates = neighbours();
    std::vector<Member> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        auto index = m_random.nextBelow(candidates.size());
        chosen.push_back(std::move(candidates[index]));
        candidates[index] = std::move(candidates.back());
        candidates.pop_back();
    }
    return chosen;
}

std::vector<Member> SelectPeers::neighbours() const
{
    auto self = LiveMembers(m_table).self();
    std::vector<std::pair<uint64_t, Member>> ring;
    m_table.entries().forEach([&](const std::string& vm, const MemberTable::Entry& entry) {
        if (entry.member.dataCentre == self.dataCentre)
            ring.emplace_back(Base::stableHash(vm), entry.member);
    });
    std::sort(ring.begin(), ring.end(), [](auto& a, auto& b) { return a.first < b.first; });
    auto selfEntry = std::find_if(ring.begin(), ring.end(), [&](auto& candidate) { return candidate.second.vm == self.vm; });
    std::vector<Member> neighbours;
    if (selfEntry == ring.end())
        return neighbours;
    auto position = static_cast<size_t>(selfEntry - ring.begin());
    for (size_t step = 1; step < ring.size(); step *= 2)
        neighbours.push_back(ring[(position + step) % ring.size()].second);
    return neighbours;
}

std::vector<Member> SelectPeers::acrossDataCentres() const
{
    auto self = LiveMembers(m_table).self();
    if (!isRelay())
        return {};
    std::set<std::string> others;
    m_table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
        if (entry.member.dataCentre != self.dataCentre)
            others.insert(entry.member.dataCentre);
    });
    if (others.empty())
        return {};
    auto dataCentre = *std::next(others.begin(), static_cast<long>(m_random.nextBelow(others.size())));
    auto relays = relaysOf(dataCentre);
    if (relays.empty())
        return {};
    return { relays[m_random.nextBelow(relays.size())] };
}

bool SelectPeers::isRelay() const
{
    auto relays = relaysOf(m_table.dataCentre());
    return std::any_of(relays.begin(), relays.end(), [&](const Member& member) { return member.vm == m_table.selfVm(); });
}

std::vector<Member> SelectPeers::relaysOf(const std::string& dataCentre) const
{
    std::vector<Member> members;
    m_table.entries().forEach([&](const std::string&, const MemberTable::Entry& entry) {
        if (entry.member.dataCentre == dataCentre)
            members.push_back(entry.member);
    });
    return selectRelays(members, dataCentre);
}

std::vector<Member> selectRelays(const std::vector<Member>& members, const std::string& dataCentre)
{
    std::map<std::string, Member> alive;
    std::map<std::string, Member> notAlive;
    for (auto& member : members) {
        if (member.dataCentre == dataCentre)
            (member.status == Status::Alive ? alive : notAlive).emplace(member.vm, member);
    }
    // A data centre without alive members is still contacted, so that the end of a partition is detected.
    auto& candidates = alive.empty() ? notAlive : alive;
    std::vector<std::string> names;
    for (auto& [vm, member] : candidates)
        names.push_back(vm);
    auto ranked = Base::rankMembers(relayKey, names);
    std::vector<Member> relays;
    for (size_t i = 0; i < ranked.size() && i < relaysPerDataCentre; ++i)
        relays.push_back(candidates.at(ranked[i]));
    return relays;
}

} // namespace Lavenderloft::Membership::Queries
