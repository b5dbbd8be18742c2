#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace Lavenderloft::Dispatch {

// Requests per second that a target takes from all routers together, as it names them in the head of a response.
struct StatedLimit {
    enum class Kind {
        // The response names no limit, so the target has none now.
        None,
        Named,
        // The field can't be read, which says nothing about the limit.
        Unreadable,
    };

    Kind kind = Kind::None;
    // Zero if the target wants no requests.
    double requestsPerSecond = 0;
};

// What a target says of itself in the head of a response.
struct TargetStatement {
    // It is about to leave and wants no new requests.
    bool isLeaving = false;
    // It refused the request and wants no others from this router for so long.
    std::optional<std::chrono::milliseconds> retryAfter;
    StatedLimit limit {};
};

// The last that is known of the limit of a target, from a response to this or to another router.
struct KnownLimit {
    // Nothing if the target has no limit any more.
    std::optional<double> requestsPerSecond;
    // When it was so. A statement that is not later does not replace this one.
    Base::TimePoint statedAt {};
};

// What this router knows of one target from the target's own responses. Holds for one incarnation of the target; a later
// one at the same address is not bound by it.
struct TargetKnowledge {
    // The time of its start, so a larger number is a later incarnation.
    uint64_t incarnation = 0;
    // When the target first said that it leaves.
    std::optional<Base::TimePoint> leavingSince;
    // Until when no request is sent to the target.
    Base::TimePoint heldBackUntil {};
    // The target has not served a request since it held this router back, so it gets one at a time.
    bool isProbed = false;
    std::optional<KnownLimit> limit {};

    bool isLimited() const { return limit && limit->requestsPerSecond; }
};

} // namespace Lavenderloft::Dispatch
