#pragma once

#include "Dispatch/PlacementPolicy.h"

namespace Lavenderloft::Dispatch {

// Chooses the less occupied of two random targets, so that routers with equally old load reports do not all choose the
// same one. Targets in other regions have a penalty, because bandwidth between regions is scarce, and so have targets
// with failures.
class PowerOfTwoChoicesPolicy final : public PlacementPolicy {
public:
    Placement choose(const std::vector<Candidate>&, const PlacementContext&, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Dispatch
