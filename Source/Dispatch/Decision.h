#pragma once

#include "Base/Clock.h"
#include "Fleet/FleetSnapshot.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Lavenderloft::Dispatch {

// The right to send one request to a target; to be given back with releaseTarget.
struct Lease {
    std::shared_ptr<const Fleet::KnownTarget> target;
    // Weights that the engine is expected to hold; set while some weights may no longer be used.
    std::optional<uint64_t> expectedWeights;
    unsigned occupancy = 0;
    std::chrono::milliseconds waited { 0 };
};

enum class RefusalReason {
    // No target of the service may be used now.
    NoTarget,
    // All targets are full and the request would come too late.
    Overloaded,
    // The budget for sending requests again is used up.
    RetryBudget,
    // The request crashed the targets that ran it.
    Quarantined,
    // The time left is not enough to be served.
    OutOfTime,
};

struct Refusal {
    RefusalReason reason {};
    // When the caller may expect to be served.
    std::chrono::milliseconds retryAfter { 0 };
};

// The request was put into the queue; the observer will be told. The wait is to be ended with cancelWait then.
struct Queued {
    Base::TimePoint until {};
};

using Decision = std::variant<Lease, Refusal, Queued>;

// Told once of the end of a wait, with the service's lock held: implementations must only pass it on.
class WaitObserver {
public:
    virtual ~WaitObserver() = default;
    virtual void waitEnded(std::variant<Lease, Refusal>) = 0;
};

// Name of the reason in logs and metrics.
std::string_view refusalName(RefusalReason);

} // namespace Lavenderloft::Dispatch
