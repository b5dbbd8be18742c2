#pragma once

// Dispatch: which target a request goes to, whether it waits, is refused or is sent again. The module does
// no input or output; it is told of arrivals, ends and reports, and reads the fleet's snapshot.

#include "Base/Clock.h"
#include "Fleet/Configuration.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// What decides on one request.
struct RequestTraits {
    std::shared_ptr<const Fleet::Route> route;
    std::string service;
    // Hash of organisation, method, path and body, which stay the same when the request comes again.
    uint64_t fingerprint = 0;
    // 0 is the most urgent.
    int priority = 0;
    Base::TimePoint arrivedAt {};
    // The caller has left, or the route's timeout has passed.
    Base::TimePoint deadline {};
    // Regions in which the request may be handled; empty means all.
    std::vector<std::string> allowedRegions;
    // Version of the weights from which an answer that is resumed began; zero if none has begun.
    uint64_t requiredWeights = 0;
    // Targets to which it was sent before.
    std::vector<std::string> triedTargets;
};

} // namespace Lavenderloft::Dispatch
