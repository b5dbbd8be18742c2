#pragma once

#include "Routing/TargetPolicy.h"

namespace Lavenderloft::Routing {

// The less loaded of two random targets. One of the two is the target that most probably has the
// request's prefix cached; it wins while its load is at most 1.5 times the other's.
class TwoChoicesPolicy final : public TargetPolicy {
public:
    std::string_view name() const override { return "two-choices"; }
    size_t choose(const Targets&, uint64_t prefix, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Routing
