#pragma once

#include "Scheduling/EngineModel.h"

namespace Lavenderloft::Dispatch {

// What was predicted of a request when it was assigned to its target.
struct PredictedPlacement {
    // By the model alone, with the way there and back.
    Scheduling::PredictedResponse nominal;
    // With the corrections of the service and of the target.
    Scheduling::PredictedResponse corrected;
    // How many times slower than usual the target is believed to be; at least 1.
    double slowness = 1;
    // Of the request.
    double promptTokens = 0;
};

} // namespace Lavenderloft::Dispatch
