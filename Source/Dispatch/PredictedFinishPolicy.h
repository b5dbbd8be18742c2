#pragma once

#include "Dispatch/PlacementPolicy.h"

namespace Lavenderloft::Dispatch {

// Chooses of two random targets the one at which the response is predicted to finish first. The two are in this router's data
// centre, unless the predicted wait there exceeds the one in another data centre by a margin. Answers engines that are slow for
// some time, long prompts beside short ones, and data centres with more demand than others.
class PredictedFinishPolicy final : public PlacementPolicy {
public:
    Placement choose(const std::vector<Candidate>&, const PlacementContext&, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Dispatch
