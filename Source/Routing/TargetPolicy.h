#pragma once

#include "Base/RandomSource.h"
#include "Routing/TargetTable.h"

#include <cstdint>

namespace Lavenderloft::Routing {

// Strategy for choosing a target. Implementations must be thread-safe.
class TargetPolicy {
public:
    virtual ~TargetPolicy() = default;

    virtual std::string_view name() const = 0;

    // Returns an index into the list. The list is not empty and contains the targets of one tier, or of all tiers
    // if `ignoresTiers` is true.
    virtual size_t choose(const Targets&, uint64_t prefix, Base::RandomSource&) const = 0;

    virtual bool ignoresTiers() const { return false; }
};

} // namespace Lavenderloft::Routing
