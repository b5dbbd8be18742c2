#pragma once

#include "Staging/Queries/PlanLoad.h"

#include <optional>

namespace Lavenderloft::Staging {

// What the local engine is about to do in order to load weights. Announced to the routers with each load report.
struct LoadIntent {
    // The routers send no requests: the engine is about to load.
    bool isPaused = false;
    // How the engine will load the weights that are being staged; empty if it serves none meanwhile.
    std::optional<Queries::LoadPlan> plan;
};

} // namespace Lavenderloft::Staging
