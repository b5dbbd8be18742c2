#pragma once

#include "Base/Clock.h"
#include "Dispatch/PredictedPlacement.h"
#include "Fleet/FleetSnapshot.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Lavenderloft::Dispatch {

// For the withdrawal of a request to reach its target, which then drops the request.
inline constexpr std::chrono::milliseconds withdrawalTime { 300 };

// Permission to send one request to a target. Returned with releaseTarget.
struct Lease {
    std::shared_ptr<const Fleet::KnownTarget> target;
    // Weights version that the engine must hold; set while some versions may no longer be used.
    std::optional<uint64_t> expectedWeights;
    unsigned occupancy = 0;
    std::chrono::milliseconds waited { 0 };
    Base::TimePoint assignedAt {};
    // When the request must have begun to run at the target, because the target's weights may not be used afterwards.
    std::optional<Base::TimePoint> beginBy {};
    // Set if the service has a model of its engines.
    std::optional<PredictedPlacement> predicted {};
    // The request goes to another data centre although this one had free capacity.
    bool spills = false;
};

enum class RefusalReason {
    // No target of the service is eligible.
    NoTarget,
    // All targets have asked this router to wait.
    HeldBack,
    // All targets are full and the expected wait is too long.
    Overloaded,
    // The request waited, and others that take precedence leave too little capacity for it.
    Displaced,
    // The retry budget is exhausted.
    RetryBudget,
    // The request crashed the targets that ran it.
    Quarantined,
    // Requests with a part of its prompt crashed the targets that ran them.
    BlockedPart,
    // Too little time is left before the deadline.
    OutOfTime,
};

struct Refusal {
    RefusalReason reason {};
    std::chrono::milliseconds retryAfter { 0 };
};

// The request was queued and the observer will be notified. The caller ends the wait with cancelWait at the given time.
struct Queued {
    Base::TimePoint until {};
};

using Decision = std::variant<Lease, Refusal, Queued>;

// Notified once when a wait ends. Called with the service's lock held, so implementations must do no more than hand
// the result over.
class WaitObserver {
public:
    virtual ~WaitObserver() = default;
    virtual void waitEnded(std::variant<Lease, Refusal>) = 0;
};

// Name of the reason in responses, logs and metrics.
std::string_view refusalName(RefusalReason);

} // namespace Lavenderloft::Dispatch
