#include "Placement/Queries/SwitchPolicy.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

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

    // Whether the member may be about to switch. Only the shared part is known of members in other data centres;
    // such a member counts as waiting while it serves an old version, unless it has failed.
    bool isWaitingToSwitch(const Member& member, const Pool& pool)
    {
        auto* replica = findReplica(member, pool.name);
        if (!replica || replica->servingDigest.empty())
            return false;
        if (member.hasDetail)
            return replica->phase == ReplicaPhase::Waiting;
        return replica->servingDigest != pool.manifest && replica->phase == ReplicaPhase::Idle;
    }

    // Number of replicas of the pool, other than the candidate, that are not serving.
    unsigned countUnavailable(const PlacementView& view, const Pool& pool, const std::string& candidate)
    {
        unsigned unavailable = 0;
        for (auto& member : view.members) {
            auto assigned = view.assignment.find(member.vm);
            bool belongs = assigned != view.assignment.end() && assigned->second == pool.name;
            if (belongs && member.vm != candidate && !isServing(member, pool.name))
                ++unavailable;
        }
        return unavailable;
    }

    // Rank of the candidate among the replicas waiting to switch.
    unsigned rankOf(const std::vector<Member>& members, const Pool& pool, const std::string& candidate)
    {
        std::vector<std::string> waiting { candidate };
        for (auto& member : members) {
            if (member.vm != candidate && isWaitingToSwitch(member, pool))
                waiting.push_back(member.vm);
        }
        auto ranking = Base::rankMembers(pool.manifest, std::move(waiting));
        return static_cast<unsigned>(std::find(ranking.begin(), ranking.end(), candidate) - ranking.begin());
    }

    // Whether the pool keeps enough serving replicas without the candidate.
    bool mayLeavePool(const std::vector<Member>& members, const Pool& pool, const std::string& candidate)
    {
        auto others = std::count_if(members.begin(), members.end(), [&](const Member& member) { return member.vm != candidate && isServing(member, pool.name); });
        return static_cast<uint64_t>(others) + pool.maxUnavailable >= pool.replicas;
    }

    bool isWithinBound(const PlacementView& view, const SwitchCandidate& candidate, bool useRank)
    {
        if (candidate.servedPool.empty())
            return true;
        if (candidate.servedPool != candidate.pool) {
            auto* leftPool = view.document.findPool(candidate.servedPool);
            return !leftPool || mayLeavePool(view.members, *leftPool, candidate.vm);
        }
        auto* pool = view.document.findPool(candidate.pool);
        if (!pool)
            return false;
        auto unavailable = countUnavailable(view, *pool, candidate.vm);
        if (useRank)
            unavailable += rankOf(view.members, *pool, candidate.vm);
        return unavailable < pool->maxUnavailable;
    }

} // namespace

bool maySwitch(const PlacementView& view, const SwitchCandidate& candidate)
{
    return isWithinBound(view, candidate, true);
}

bool isClaimValid(const PlacementView& view, const SwitchCandidate& candidate)
{
    return isWithinBound(view, candidate, false);
}

bool mayRelease(const PlacementView& view, const std::string& vm, const std::string& servedPool)
{
    auto* pool = view.document.findPool(servedPool);
    return !pool || !countUnavailable(view, *pool, vm);
}

} // namespace Lavenderloft::Placement::Queries
