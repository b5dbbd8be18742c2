#pragma once

#include "Base/Clock.h"
#include "Dispatch/RequestTraits.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace Lavenderloft::Dispatch {

// Load of a service when a request arrives.
struct ServiceLoad {
    size_t targets = 0;
    // Targets that may become eligible, for example after a backoff.
    size_t returningTargets = 0;
    // Sum of the concurrency limits of these targets.
    size_t capacity = 0;
    // Those of the targets that can take the request now.
    size_t freeTargets = 0;
    // Predicted work of the queued requests that are served before the new one, in requests of mean size.
    double precedingRequests = 0;
    // Moving average.
    double completionsPerSecond = 0;
    // When the first target takes requests again; set if targets hold this router back.
    std::optional<Base::TimePoint> heldBackUntil {};
};

// Sets the concurrency limit of a target, the longest time in the queue and the Retry-After value of a refusal.
class AdmissionPolicy {
public:
    virtual ~AdmissionPolicy() = default;

    // Most requests that all routers together may have in flight at a target with that many slots.
    virtual unsigned concurrencyLimit(unsigned slots, bool isEngine) const = 0;

    // How long the request may wait for a free slot, at most until its deadline; zero refuses it immediately.
    virtual Base::Duration maximumWait(const RequestTraits&, const ServiceLoad&) const = 0;

    // When a refused request is likely to find a free slot.
    virtual std::chrono::milliseconds retryAfter(const RequestTraits&, const ServiceLoad&) const = 0;
};

} // namespace Lavenderloft::Dispatch
