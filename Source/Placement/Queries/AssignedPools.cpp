#include "Placement/Queries/AssignedPools.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Placement::Queries {

namespace {

    using DesiredState::Document;
    using DesiredState::Pool;
    using Membership::Member;
    using MembersByDataCentre = std::map<std::string, std::vector<std::string>>;

    std::set<std::string> serviceVms(const Document& document)
    {
        std::set<std::string> names;
        for (auto& service : document.services)
            names.insert(service.vms.begin(), service.vms.end());
        return names;
    }

    MembersByDataCentre findCandidates(const Document& document, const std::vector<Member>& members)
    {
        auto excluded = serviceVms(document);
        MembersByDataCentre candidates;
        for (auto& member : members) {
            bool isPresent = member.status == Membership::Status::Alive || member.status == Membership::Status::Suspect;
            auto* dataCentre = document.findDataCentre(member.dataCentre);
            bool isInService = dataCentre && dataCentre->state == DesiredState::DataCentreState::In;
            if (member.role == Membership::Role::Agent && isPresent && isInService && !document.isDrained(member.vm) && !excluded.contains(member.vm))
                candidates[member.dataCentre].push_back(member.vm);
        }
        return candidates;
    }

    bool mayUse(const Pool& pool, const std::string& dataCentre)
    {
        return pool.dataCentres.empty() || std::find(pool.dataCentres.begin(), pool.dataCentres.end(), dataCentre) != pool.dataCentres.end();
    }

    // Ranks the members for the pool: the first of each data centre, then the second, and so on.
    std::vector<std::string> rankForPool(const Pool& pool, const MembersByDataCentre& candidates)
    {
        std::vector<std::string> dataCentres;
        for (auto& [dataCentre, members] : candidates) {
            if (mayUse(pool, dataCentre))
                dataCentres.push_back(dataCentre);
        }
        std::vector<std::vector<std::string>> columns;
        size_t longest = 0;
        for (auto& dataCentre : Base::rankMembers(pool.name, std::move(dataCentres))) {
            columns.push_back(Base::rankMembers(pool.name, candidates.at(dataCentre)));
            longest = std::max(longest, columns.back().size());
        }
        std::vector<std::string> ranking;
        for (size_t row = 0; row < longest; ++row) {
            for (auto& column : columns) {
                if (row < column.size())
                    ranking.push_back(column[row]);
            }
        }
        return ranking;
    }

    struct Proposer {
        const Pool* pool = nullptr;
        std::vector<std::string> ranking;
        size_t next = 0;
        unsigned held = 0;
    };

    // Whether the VM prefers the first pool to the second.
    bool isPreferred(const std::string& vm, const Pool& first, const Pool& second)
    {
        if (first.priority != second.priority)
            return first.priority > second.priority;
        return std::pair(Base::rendezvousWeight(vm, first.name), first.name) > std::pair(Base::rendezvousWeight(vm, second.name), second.name);
    }

    // Stable matching by deferred acceptance: pools propose in the order of their rankings, and each member keeps the
    // pool that it prefers.
    class Matching {
    public:
        explicit Matching(std::vector<Proposer> proposers)
            : m_proposers(std::move(proposers))
        {
        }

        Assignment solve()
        {
            bool changed = true;
            while (changed) {
                changed = false;
                for (auto& proposer : m_proposers)
                    changed |= proposeUntilFull(proposer);
            }
            Assignment assignment;
            for (auto& [vm, proposer] : m_holders)
                assignment[vm] = proposer->pool->name;
            return assignment;
        }

    private:
        bool proposeUntilFull(Proposer& proposer)
        {
            bool proposed = false;
            while (proposer.held < proposer.pool->replicas && proposer.next < proposer.ranking.size()) {
                propose(proposer, proposer.ranking[proposer.next++]);
                proposed = true;
            }
            return proposed;
        }

        void propose(Proposer& proposer, const std::string& vm)
        {
            auto& holder = m_holders[vm];
            if (holder && !isPreferred(vm, *proposer.pool, *holder->pool))
                return;
            if (holder)
                --holder->held;
            holder = &proposer;
            ++proposer.held;
        }

        std::vector<Proposer> m_proposers;
        std::map<std::string, Proposer*> m_holders;
    };

} // namespace

Assignment assignedPools(const Document& document, const std::vector<Member>& members)
{
    auto candidates = findCandidates(document, members);
    std::vector<Proposer> proposers;
    for (auto& pool : document.pools)
        proposers.push_back({ &pool, rankForPool(pool, candidates), 0, 0 });
    return Matching(std::move(proposers)).solve();
}

} // namespace Lavenderloft::Placement::Queries
