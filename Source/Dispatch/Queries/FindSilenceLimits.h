#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch {

// How long a target may be silent before another one is looked for. They follow what the targets of the service take at
// present: a target that is slow like all others is not replaced.
struct SilenceLimits {
    // Before the first part of the response.
    Base::Duration firstPart {};
    // Between two parts.
    Base::Duration betweenParts {};
    // Time in which most requests of the service receive the first part of their response; zero if unknown.
    Base::Duration typicalFirstPart {};
};

namespace Queries {

    SilenceLimits findSilenceLimits(DispatchState&, const RequestTraits&, Base::TimePoint now);

} // namespace Queries

} // namespace Lavenderloft::Dispatch
