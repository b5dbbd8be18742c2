#pragma once

#include "Base/Clock.h"
#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Staging/DesiredWeights.h"
#include "Staging/EngineProtocol.h"

#include <chrono>
#include <optional>

namespace Lavenderloft::Staging::Queries {

// When and how an engine replaces its weights.
struct LoadPlan {
    // When the engine stops accepting requests and starts to load.
    Base::TimePoint startAt {};
    // Running requests are aborted only if all of them can be resumed, and only at engines early in the load order.
    // The last engines let their requests finish and take over the aborted ones.
    LoadMode mode = LoadMode::FinishRunning;
};

// What an agent knows of staging when it plans a load.
struct StagingProgress {
    // When all pieces were stored at the engine; empty if they are not yet.
    std::optional<Base::TimePoint> stagedAt;
    // The pieces of the newest version could be fetched now.
    bool canStageNewest = true;
};

// Plans when the local engine, which serves another version, loads a declared one. The start times of the engines are
// staggered, so that only some of them stop accepting requests at a time. All of them start well before the deadline
// of the earliest declaration that the engine does not satisfy. The first ones start when the pieces are staged, which
// happens at all agents at about the same time.
LoadPlan planLoad(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const std::string& model, const Fleet::DeclaredWeights& declared, uint64_t heldVersion, const StagingProgress&);

// The earliest time at which an engine that serves nothing may fetch the pieces of a declared version. Engines that
// serve an older version go first, because they must stop serving it at the deadline.
Base::TimePoint earliestFetch(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const Fleet::DeclaredWeights& declared, unsigned layers);

// Whether fetching the desired weights is deferred in favour of engines that need the pieces sooner.
bool isFetchDeferred(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const DesiredWeights&, uint64_t heldVersion, Base::TimePoint now);

// Time until the engine aborts its running requests; nullopt if no abort is planned.
std::optional<std::chrono::milliseconds> timeUntilAbort(const std::optional<LoadPlan>&, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Queries
