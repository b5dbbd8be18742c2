#pragma once

#include "Base/Clock.h"
#include "Fleet/TargetEntry.h"
#include "Staging/DesiredWeights.h"
#include "Staging/LoadLifeCycle.h"

#include <cstdint>
#include <optional>

namespace Lavenderloft::Staging {

// A load request that is not settled yet.
struct PendingLoad {
    DesiredWeights weights;
    Fleet::HeldLayers layers;
    // Number of load requests that the engine had accepted before this one; empty if it does not count them.
    std::optional<uint64_t> acceptedBefore;
    // If it is accepted, the engine keeps no layers that it loaded earlier.
    bool replacesAllLayers = true;
    // Of the last attempt.
    Base::TimePoint requestedAt {};
    // The last time at which the engine is known not to have accepted it.
    Base::TimePoint notAcceptedAt {};
    // An attempt had no response. The engine may still accept it.
    bool hasUnansweredAttempt = false;
    // The pieces were found whole after the engine had accepted it.
    bool isVerified = false;
};

// What is known of the load requests at the local engine, and whether its layers can be relied on. An engine loads the
// pieces that are stored when it accepts a request, which may be long after the request was sent. Modified by
// Commands/RecordLoadRequest and Commands/RecordLoadReport.
struct LoadState {
    LoadLifeCycle lifeCycle;
    // Empty in LoadPhase::Settled.
    std::optional<PendingLoad> pending;
    // EngineReport::startedAt and EngineReport::acceptedLoads of the last report.
    uint64_t engineStart = 0;
    std::optional<uint64_t> acceptedLoads;
    // The engine has loaded layers for this process, and they can be relied on unless isInDoubt.
    bool hasLoaded = false;
    // The engine may hold layers that it loaded from damaged pieces or from pieces of another version.
    bool isInDoubt = false;
    // The doubt is about layers that an earlier process of this VM had the engine load.
    bool isInherited = false;
};

} // namespace Lavenderloft::Staging
