#include "Dispatch/PowerOfTwoChoicesPolicy.h"

namespace Lavenderloft::Dispatch {

namespace {

    // Shares of a target's places.
    constexpr double otherRegionPenalty = 0.3;
    constexpr double otherDataCentrePenalty = 0.1;
    constexpr double failurePenalty = 1.5;
    // Share of places from which on targets of other regions are taken as well.
    constexpr double nearlyFull = 0.5;
    // With fewer near targets all routers of the region would choose the same one.
    constexpr size_t fewestToChooseFrom = 3;

    double scoreOf(const Candidate& candidate)
    {
        double score = (candidate.occupancy + 1.0) / candidate.slots;
        if (!candidate.sameRegion)
            score += otherRegionPenalty;
        else if (!candidate.sameDataCentre)
            score += otherDataCentrePenalty;
        return score + failurePenalty * candidate.failureShare;
    }

    // Indexes of the candidates that do not cut off their requests soon, if there are any and the request has been
    // cut off before: its attempts may be used up.
    std::vector<size_t> lastingCandidates(const std::vector<Candidate>& candidates, const RequestTraits& traits)
    {
        std::vector<size_t> lasting;
        std::vector<size_t> all;
        for (size_t i = 0; i < candidates.size(); ++i) {
            all.push_back(i);
            if (!candidates[i].cutsSoon)
                lasting.push_back(i);
        }
        bool wasCutOff = traits.requiredWeights > 0;
        return wasCutOff && !lasting.empty() ? lasting : all;
    }

    // Of these the ones of this region that are not nearly full; all if those are few.
    std::vector<size_t> nearCandidates(const std::vector<Candidate>& candidates, const RequestTraits& traits)
    {
        auto lasting = lastingCandidates(candidates, traits);
        std::vector<size_t> near;
        for (auto i : lasting) {
            if (candidates[i].sameRegion && candidates[i].occupancy < nearlyFull * candidates[i].slots)
                near.push_back(i);
        }
        return near.size() < fewestToChooseFrom ? lasting : near;
    }

} // namespace

size_t PowerOfTwoChoicesPolicy::choose(const std::vector<Candidate>& candidates, const RequestTraits& traits, Base::RandomSource& random) const
{
    auto near = nearCandidates(candidates, traits);
    if (near.size() == 1)
        return near.front();
    auto first = random.below(near.size());
    auto second = (first + 1 + random.below(near.size() - 1)) % near.size();
    return scoreOf(candidates[near[first]]) <= scoreOf(candidates[near[second]]) ? near[first] : near[second];
}

} // namespace Lavenderloft::Dispatch
