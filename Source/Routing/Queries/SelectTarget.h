#pragma once

#include "Base/Clock.h"
#include "Routing/LiveRequest.h"
#include "Routing/TargetPolicy.h"

#include <string_view>

namespace Lavenderloft::Routing::Queries {

// Number of refusals in a tier after which a request moves on to the next tier.
inline constexpr size_t refusalsPerTier = 2;

// A selected target and the reason, which is logged.
struct Selection {
    // Null if no target is available.
    std::shared_ptr<Target> target;
    std::string_view reason;
};

// Selects the target of the next attempt, excluding targets already tried. If a digest is given, only targets
// that serve it are candidates.
Selection selectTarget(const TargetTable&, const LiveRequest&, const Targets& tried, const TargetPolicy&, Base::RandomSource&, Base::TimePoint now, const std::string& digest = {});

// Name of the only VM that may run calls with the request's key.
std::string keyHome(const LiveRequest&);

} // namespace Lavenderloft::Routing::Queries
