#pragma once

#include "Dispatch/PlacementPolicy.h"

namespace Lavenderloft::Dispatch {

// Chooses the target with the smallest share of places taken. A target in another region counts as fuller,
// because bytes between regions are scarce, and so does one that fails some of its requests.
class LeastOccupiedPolicy final : public PlacementPolicy {
public:
    size_t choose(const std::vector<Candidate>&, const RequestTraits&, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Dispatch
