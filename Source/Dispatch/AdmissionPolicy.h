#pragma once

#include "Base/Clock.h"
#include "Dispatch/RequestTraits.h"

#include <chrono>
#include <cstddef>

namespace Lavenderloft::Dispatch {

// Load of a service as a request finds it.
struct ServiceLoad {
    size_t targets = 0;
    size_t places = 0;
    size_t waiting = 0;
    // Requests that end in a second, over the last seconds.
    double completionsPerSecond = 0;
};

// Decides how many requests a target may have, how long a request may wait and when a refused caller may
// come back.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    // Most requests that all routers together should have at a target with that many slots.
    virtual unsigned placesOf(unsigned slots, bool isEngine) const = 0;

    // How long the request may wait for a place; zero refuses it at once.
    virtual Base::Duration longestWait(const RequestTraits&, const ServiceLoad&) const = 0;

    // When a refused request is likely to find a place.
    virtual std::chrono::milliseconds retryAfter(const RequestTraits&, const ServiceLoad&) const = 0;
};

} // namespace Lavenderloft::Dispatch
