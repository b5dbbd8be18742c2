#include "Dispatch/PredictedFinishPolicy.h"

#include "Dispatch/Queries/FindLastingCandidates.h"
#include "Dispatch/Queries/PredictPlacement.h"
#include "Scheduling/Queries/DecideSpill.h"

namespace Lavenderloft::Dispatch {

namespace {

    // A target with failures counts as slower by up to this factor.
    constexpr double failurePenalty = 1.5;
    // Predictions that differ by less are equal, so that routers with the same knowledge do not all choose the same target.
    constexpr double equalRatio = 0.9;

    Base::Duration ratedFinish(const Candidate& candidate, const PredictedPlacement& predicted)
    {
        return std::chrono::duration_cast<Base::Duration>(predicted.corrected.finish * (1 + failurePenalty * candidate.failureShare));
    }

    // The choice for one request among some of its candidates.
    class Choice {
    public:
        Choice(const std::vector<Candidate>& candidates, const PlacementContext& context, Base::RandomSource& random)
            : m_candidates(candidates)
            , m_context(context)
            , m_random(random)
        {
        }

        // The indexes must not be empty.
        Placement chooseOf(const std::vector<size_t>& indexes) const
        {
            auto first = m_random.nextBelow(indexes.size());
            auto placement = placementAt(indexes[first]);
            if (indexes.size() == 1 || isProbe(placement))
                return placement;
            auto second = (first + 1 + m_random.nextBelow(indexes.size() - 1)) % indexes.size();
            auto other = placementAt(indexes[second]);
            return isProbe(other) || isClearlyBetter(other, placement) ? other : placement;
        }

        // A request that broke off at another target is not made to test one.
        bool isProbe(const Placement& placement) const
        {
            return !m_context.traits.isInterrupted && Queries::isProbeDue(m_candidates[placement.index], *placement.predicted, m_context.now);
        }

    private:
        Placement placementAt(size_t index) const { return { index, Queries::predictPlacement(m_candidates[index], m_context) }; }

        bool isClearlyBetter(const Placement& placement, const Placement& other) const
        {
            return ratedFinish(m_candidates[placement.index], *placement.predicted) < equalRatio * ratedFinish(m_candidates[other.index], *other.predicted);
        }

        const std::vector<Candidate>& m_candidates;
        const PlacementContext& m_context;
        Base::RandomSource& m_random;
    };

} // namespace

Placement PredictedFinishPolicy::choose(const std::vector<Candidate>& candidates, const PlacementContext& context, Base::RandomSource& random) const
{
    std::vector<size_t> home;
    std::vector<size_t> away;
    for (auto i : Queries::findLastingCandidates(candidates, context.traits))
        (candidates[i].sameDataCentre ? home : away).push_back(i);
    Choice choice(candidates, context, random);
    if (home.empty() || away.empty())
        return choice.chooseOf(home.empty() ? away : home);
    auto atHome = choice.chooseOf(home);
    // A slow target that is probed says nothing of the others here.
    if (choice.isProbe(atHome))
        return atHome;
    auto elsewhere = choice.chooseOf(away);
    Scheduling::Queries::SpillWaits waits { atHome.predicted->corrected.firstEvent, elsewhere.predicted->corrected.firstEvent };
    bool spills = Scheduling::Queries::shouldSpill(waits, context.traits.route->targetLatency, context.isSpilling);
    auto chosen = spills ? elsewhere : atHome;
    chosen.spills = spills;
    return chosen;
}

} // namespace Lavenderloft::Dispatch
