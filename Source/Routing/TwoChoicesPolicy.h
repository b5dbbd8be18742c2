#pragma once

#include "Routing/TargetPolicy.h"

namespace Lavenderloft::Routing {

// Chooses the less loaded of two random targets. If the request has a prefix hash, the first choice is the target
// most likely to have the prefix cached, and is preferred up to 1.5 times the load of the other.
class TwoChoicesPolicy final : public TargetPolicy {
public:
    std::string_view name() const override { return "two-choices"; }
    size_t choose(const Targets&, uint64_t prefix, Base::RandomSource&) const override;
};

} // namespace Lavenderloft::Routing
