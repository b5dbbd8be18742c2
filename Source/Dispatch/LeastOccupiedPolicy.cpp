#include "Dispatch/LeastOccupiedPolicy.h"

namespace Lavenderloft::Dispatch {

namespace {

    // Shares of a target's places.
    constexpr double otherRegionPenalty = 0.3;
    constexpr double otherDataCentrePenalty = 0.1;
    constexpr double failurePenalty = 1.5;
    // Spreads the choices of routers that have the same view.
    constexpr double randomSpread = 0.08;

} // namespace

size_t LeastOccupiedPolicy::choose(const std::vector<Candidate>& candidates, const RequestTraits&, Base::RandomSource& random) const
{
    size_t best = 0;
    double bestScore = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        auto& candidate = candidates[i];
        double score = (candidate.occupancy + 1.0) / candidate.slots;
        if (!candidate.sameRegion)
            score += otherRegionPenalty;
        else if (!candidate.sameDataCentre)
            score += otherDataCentrePenalty;
        score += failurePenalty * candidate.failureShare;
        score += randomSpread * random.fraction();
        if (i > 0 && score >= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

} // namespace Lavenderloft::Dispatch
