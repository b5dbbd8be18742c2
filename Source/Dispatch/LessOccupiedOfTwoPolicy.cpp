#include "Dispatch/LessOccupiedOfTwoPolicy.h"

namespace Lavenderloft::Dispatch {

namespace {

    // Shares of a target's places.
    constexpr double otherRegionPenalty = 0.3;
    constexpr double otherDataCentrePenalty = 0.1;
    constexpr double failurePenalty = 1.5;

    double scoreOf(const Candidate& candidate)
    {
        double score = (candidate.occupancy + 1.0) / candidate.slots;
        if (!candidate.sameRegion)
            score += otherRegionPenalty;
        else if (!candidate.sameDataCentre)
            score += otherDataCentrePenalty;
        return score + failurePenalty * candidate.failureShare;
    }

} // namespace

size_t LessOccupiedOfTwoPolicy::choose(const std::vector<Candidate>& candidates, const RequestTraits&, Base::RandomSource& random) const
{
    auto first = random.below(candidates.size());
    if (candidates.size() == 1)
        return first;
    auto second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    return scoreOf(candidates[first]) <= scoreOf(candidates[second]) ? first : second;
}

} // namespace Lavenderloft::Dispatch
