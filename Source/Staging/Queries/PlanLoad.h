#pragma once

#include "Base/Clock.h"
#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Staging/EngineProtocol.h"

namespace Lavenderloft::Staging::Queries {

// How an engine changes its weights.
struct LoadPlan {
    // When it stops taking requests.
    Base::TimePoint turn {};
    // What becomes of those that run. They are cut off only if all of them can be resumed, and only at engines
    // early in the order: the last ones let theirs end, and take those that were cut off.
    LoadMode mode = LoadMode::FinishRunning;
};

// When the engine beside this agent, which holds another version, should begin to load a declared one. Engines
// take turns, so that only a part of them stops taking requests at a time; all turns begin well before the bound
// of the earliest declaration that the engine does not meet.
LoadPlan planLoad(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const std::string& model, const Fleet::DeclaredWeights& wanted, uint64_t heldVersion);

// From when on an engine that serves nothing may fetch the pieces of a declared version: engines that serve older
// weights go first, because they can't go on with these.
Base::TimePoint earliestFetch(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const Fleet::DeclaredWeights& wanted, unsigned layers);

} // namespace Lavenderloft::Staging::Queries
