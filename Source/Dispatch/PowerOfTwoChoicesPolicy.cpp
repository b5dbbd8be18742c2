#include "Dispatch/PowerOfTwoChoicesPolicy.h"

#include "Dispatch/Queries/FindLastingCandidates.h"

namespace Lavenderloft::Dispatch {

namespace {

    // Penalties as fractions of a target's capacity.
    constexpr double otherRegionPenalty = 0.3;
    constexpr double otherDataCentrePenalty = 0.1;
    constexpr double failurePenalty = 1.5;
    // Occupancy from which a target no longer keeps requests in its region.
    constexpr double spilloverOccupancy = 0.5;
    // With fewer local targets all routers of the region would choose the same target.
    constexpr size_t minimumLocalCandidates = 3;

    double scoreOf(const Candidate& candidate)
    {
        double score = (candidate.occupancy + 1.0) / candidate.capacity;
        if (!candidate.sameRegion)
            score += otherRegionPenalty;
        else if (!candidate.sameDataCentre)
            score += otherDataCentrePenalty;
        return score + failurePenalty * candidate.failureShare;
    }

    // Narrows these down to the ones in this region below the spillover occupancy, unless those are too few.
    std::vector<size_t> preferLocalCandidates(const std::vector<Candidate>& candidates, const RequestTraits& traits)
    {
        auto remaining = Queries::findLastingCandidates(candidates, traits);
        std::vector<size_t> local;
        for (auto i : remaining) {
            if (candidates[i].sameRegion && candidates[i].occupancy < spilloverOccupancy * candidates[i].capacity)
                local.push_back(i);
        }
        return local.size() < minimumLocalCandidates ? remaining : local;
    }

} // namespace

Placement PowerOfTwoChoicesPolicy::choose(const std::vector<Candidate>& candidates, const PlacementContext& context, Base::RandomSource& random) const
{
    auto local = preferLocalCandidates(candidates, context.traits);
    if (local.size() == 1)
        return { local.front() };
    auto first = random.nextBelow(local.size());
    auto second = (first + 1 + random.nextBelow(local.size() - 1)) % local.size();
    return { scoreOf(candidates[local[first]]) <= scoreOf(candidates[local[second]]) ? local[first] : local[second] };
}

} // namespace Lavenderloft::Dispatch
