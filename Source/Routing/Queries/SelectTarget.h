#pragma once

#include "Base/Clock.h"
#include "Routing/LiveRequest.h"
#include "Routing/TargetPolicy.h"

#include <string_view>

namespace Lavenderloft::Routing::Queries {

// Refusals after which a request leaves a tier although some of its targets were not asked.
inline constexpr size_t refusalsPerTier = 2;

// A selection and its reason for the log.
struct Selection {
    // Null when no target is left.
    std::shared_ptr<Target> target;
    std::string_view reason;
};

// The target for the next attempt of a request, given the targets already tried. Only targets that serve
// the digest are candidates, unless it is empty.
Selection selectTarget(const TargetTable&, const LiveRequest&, const Targets& tried, const TargetPolicy&, Base::RandomSource&, Base::TimePoint now, const std::string& digest = {});

// The name of the VM that alone may run calls with the request's key.
std::string keyHome(const LiveRequest&);

} // namespace Lavenderloft::Routing::Queries
