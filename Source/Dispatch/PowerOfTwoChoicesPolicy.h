#pragma once

#include "Dispatch/PlacementPolicy.h"

namespace Lavenderloft::Dispatch {

// Chooses the less occupied of two random targets, so that routers whose views are equally old do not all
// choose the same one. A target in another region counts as fuller, because bytes between regions are scarce,
// and so does one that fails some of its requests.
class PowerOfTwoChoicesPolicy final : public PlacementPolicy {
public:
    size_t choose(const std::vector<Candidate>&, const RequestTraits&, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Dispatch
