#include "Placement/Queries/SwitchAllowed.h"

#include "Base/RendezvousHash.h"
#include "Placement/Queries/AssignedPools.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    using DesiredState::Document;
    using DesiredState::Pool;
    using Membership::Member;
    using Membership::Replica;
    using Membership::ReplicaPhase;

    const Replica* findReplica(const Member& member, const std::string& pool)
    {
        auto found = std::find_if(member.replicas.begin(), member.replicas.end(), [&](const Replica& replica) { return replica.pool == pool; });
        return found == member.replicas.end() ? nullptr : &*found;
    }

    bool isServing(const Member& member, const std::string& pool)
    {
        auto* replica = findReplica(member, pool);
        return replica && !replica->servingDigest.empty() && replica->phase != ReplicaPhase::Loading;
    }

    bool waitsToSwitch(const Member& member, const std::string& pool)
    {
        auto* replica = findReplica(member, pool);
        return replica && replica->phase == ReplicaPhase::Waiting && !replica->servingDigest.empty();
    }

    // Replicas of the pool, without the candidate, that do not serve now.
    unsigned countOut(const Document& document, const std::vector<Member>& members, const Pool& pool, const std::string& candidate)
    {
        auto assignment = assignedPools(document, members);
        unsigned out = 0;
        for (auto& member : members) {
            auto assigned = assignment.find(member.vm);
            bool belongs = assigned != assignment.end() && assigned->second == pool.name;
            if (belongs && member.vm != candidate && !isServing(member, pool.name))
                ++out;
        }
        return out;
    }

    // Rank of the candidate among the replicas that wait to switch.
    unsigned rankOf(const std::vector<Member>& members, const Pool& pool, const std::string& candidate)
    {
        std::vector<std::string> waiting { candidate };
        for (auto& member : members) {
            if (member.vm != candidate && waitsToSwitch(member, pool.name))
                waiting.push_back(member.vm);
        }
        auto ranking = Base::rankMembers(pool.manifest, std::move(waiting));
        return static_cast<unsigned>(std::find(ranking.begin(), ranking.end(), candidate) - ranking.begin());
    }

    // Whether the pool that the candidate leaves keeps enough replicas.
    bool mayLeave(const std::vector<Member>& members, const Pool& pool, const std::string& candidate)
    {
        auto others = std::count_if(members.begin(), members.end(), [&](const Member& member) { return member.vm != candidate && isServing(member, pool.name); });
        return static_cast<uint64_t>(others) + pool.maxUnavailable >= pool.replicas;
    }

    bool isWithinBound(const Document& document, const std::vector<Member>& members, const SwitchCandidate& candidate, bool useRank)
    {
        if (candidate.servedPool.empty())
            return true;
        if (candidate.servedPool != candidate.pool) {
            auto* left = document.findPool(candidate.servedPool);
            return !left || mayLeave(members, *left, candidate.vm);
        }
        auto* pool = document.findPool(candidate.pool);
        if (!pool)
            return false;
        auto taken = countOut(document, members, *pool, candidate.vm);
        if (useRank)
            taken += rankOf(members, *pool, candidate.vm);
        return taken < pool->maxUnavailable;
    }

} // namespace

bool maySwitch(const Document& document, const std::vector<Member>& members, const SwitchCandidate& candidate)
{
    return isWithinBound(document, members, candidate, true);
}

bool claimStands(const Document& document, const std::vector<Member>& members, const SwitchCandidate& candidate)
{
    return isWithinBound(document, members, candidate, false);
}

bool mayRelease(const Document& document, const std::vector<Member>& members, const std::string& vm, const std::string& servedPool)
{
    auto* pool = document.findPool(servedPool);
    return !pool || !countOut(document, members, *pool, vm);
}

} // namespace Lavenderloft::Placement::Queries
