#pragma once

#include "Routing/AttemptFailure.h"
#include "Routing/TargetTable.h"

#include <optional>

namespace Lavenderloft::Routing {

// What the attempts of one request have led to so far. Read by Queries/SelectNextTarget and Queries/MakeRetryInput.
struct AttemptHistory {
    // One round of attempts. A round ends when no target is left to try.
    struct Round {
        Targets tried;
        // Subset of `tried`.
        Targets refused;
        unsigned attempts = 0;
        unsigned brokenAttempts = 0;
        unsigned loadRefusals = 0;
    };

    Round round;
    // Number of times that the response was resumed.
    unsigned resumes = 0;
    // Number of attempts that may have run the request and sent no complete response.
    unsigned interruptedRuns = 0;
    // Whether any attempt may have run the request.
    bool mayHaveRun = false;
    // The failure that is followed by a retry as soon as the retry budget allows it.
    std::optional<AttemptFailure> unchargedFailure;
};

} // namespace Lavenderloft::Routing
