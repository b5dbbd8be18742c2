#pragma once

// Dispatch decides which target a request goes to, and whether it is queued, refused or retried. The module does no
// input or output: commands record arrivals, results and reports, and queries read the fleet snapshot.

#include "Base/Clock.h"
#include "Dispatch/PartEvidence.h"
#include "Fleet/Configuration.h"
#include "Scheduling/QueuedWork.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Lavenderloft::Dispatch {

// Properties of a request that determine its dispatch.
struct RequestTraits {
    std::shared_ptr<const Fleet::Route> route;
    std::string service;
    // Hash of organisation, method, path and body, which stay the same when the caller resends the request.
    uint64_t fingerprint = 0;
    // Parts of the prompt that other requests may have too: all but the last.
    std::vector<PromptPart> sharedParts;
    // 0 is the highest.
    int priority = 0;
    // Empty if the configuration names no organisations.
    std::string organisation;
    Scheduling::RequestSize size;
    Base::TimePoint arrivedAt {};
    // The earlier of the caller's deadline and the route's timeout.
    Base::TimePoint deadline {};
    // Regions in which the request may be handled; empty means all.
    std::vector<std::string> allowedRegions;
    // Version of the weights with which a resumed response started; zero if no response has started.
    uint64_t requiredWeights = 0;
    std::vector<std::string> triedTargets;
    // A target ran the request and broke off, or has it and is silent. The request can be continued or fail, but not be refused as not run.
    bool isInterrupted = false;

    Scheduling::QueuedWork queuedWork() const { return { priority, isInterrupted, organisation, size }; }
};

} // namespace Lavenderloft::Dispatch
