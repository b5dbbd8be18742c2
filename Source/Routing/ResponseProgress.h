#pragma once

#include "Routing/StreamPosition.h"
#include "Routing/TargetChannel.h"

namespace Lavenderloft::Routing {

// How much of its response a caller has received.
struct ResponseProgress {
    // The head is sent together with the first byte of the body, so that a failure before that can be retried.
    bool isStarted = false;
    ResponseHead head;
    // Position up to which the response was forwarded.
    StreamPosition position;
};

} // namespace Lavenderloft::Routing
