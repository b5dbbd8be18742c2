#pragma once

#include "Base/Clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Lavenderloft::Dispatch {

// What the agent beside a target says of it; load is the sum over all routers.
struct TargetReport {
    unsigned running = 0;
    unsigned queued = 0;
    // Version of whole weights that the engine holds; zero if it holds none.
    uint64_t wholeVersion = 0;
    // The engine is about to load weights and takes nothing new.
    bool paused = false;
    // Requests that this router may begin there until the next report.
    unsigned granted = 0;
    // The engine has just started; its grants are dealt at the rate that it bears.
    bool cold = false;
    // When the engine cuts off its requests to load new weights; nothing if it is not about to.
    std::optional<Base::TimePoint> abortsAt;
};

// What this router knows of one target beside its entry.
struct TargetRuntime {
    // A report older than this says nothing any more.
    static constexpr std::chrono::milliseconds reportLifetime { 1000 };
    // Grants of a report hold for this time, a little longer than agents take to the next one; an agent that
    // does not tell every router each time deals the places anew meanwhile.
    static constexpr std::chrono::milliseconds grantLifetime { 160 };
    // A place that a request of this router gave back stays with the router for this time; the agent deals
    // it to others only later.
    static constexpr std::chrono::milliseconds placeRetention { 90 };

    // Requests of this router at the target.
    unsigned underWay = 0;
    // Requests of other routers there, as of the last report.
    unsigned underWayElsewhere = 0;
    TargetReport report;
    Base::TimePoint reportedAt {};
    // Requests that may still be begun under the last report.
    unsigned grantsLeft = 0;
    // Requests of this router that were begun since the last report. Their prompts are read one after the
    // other, and those of other routers beside them.
    unsigned begunSinceReport = 0;
    // Ends of the retention of places that were given back, the oldest first.
    std::deque<Base::TimePoint> retainedPlaces;
    // Failures without a success in between.
    unsigned consecutiveFailures = 0;
    // Moving share of attempts that failed, 0 to 1.
    double failureShare = 0;
    Base::TimePoint avoidUntil {};
    // When a connection to the target could last not be made.
    Base::TimePoint unreachableAt {};
    // Rate of requests while the target is cold.
    double coldTokens = 0;
    Base::TimePoint coldRefilledAt {};

    bool hasReport(Base::TimePoint now) const { return reportedAt != Base::TimePoint() && now - reportedAt < reportLifetime; }

    bool hasGrant(Base::TimePoint now) const { return grantsLeft > 0 && now - reportedAt < grantLifetime; }

    unsigned occupancy(Base::TimePoint now) const { return underWay + (hasReport(now) ? underWayElsewhere : 0); }

    bool hasRetainedPlace(Base::TimePoint now) const { return !retainedPlaces.empty() && retainedPlaces.back() > now; }
};

} // namespace Lavenderloft::Dispatch
