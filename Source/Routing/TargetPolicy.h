#pragma once

#include "Base/RandomSource.h"
#include "Routing/TargetTable.h"

#include <cstdint>

namespace Lavenderloft::Routing {

// Picks one of several targets. Implementations may be used by several threads at once.
class TargetPolicy {
public:
    virtual ~TargetPolicy() = default;

    virtual std::string_view name() const = 0;

    // Index of the target to use. The list is not empty and holds targets of one tier unless `wantsAllTiers`.
    virtual size_t choose(const Targets&, uint64_t prefix, Base::RandomSource&) const = 0;

    // Whether to offer targets of every tier at once.
    virtual bool wantsAllTiers() const { return false; }
};

} // namespace Lavenderloft::Routing
