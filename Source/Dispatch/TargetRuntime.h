#pragma once

#include "Base/Clock.h"
#include "Dispatch/PredictedPlacement.h"
#include "Dispatch/TargetStatement.h"
#include "Scheduling/RatioAverage.h"
#include "Scheduling/ReuseAllowance.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Lavenderloft::Dispatch {

// Report of the target's agent. The load is the sum over all routers.
struct TargetReport {
    unsigned running = 0;
    unsigned queued = 0;
    // Version of the complete weights that the engine holds; zero if it holds none.
    uint64_t wholeVersion = 0;
    // The engine is about to load weights and accepts no new requests.
    bool paused = false;
    // Requests that this router may start until the next report.
    unsigned granted = 0;
    // The engine has just started; the grants are limited to the rate that it can sustain.
    bool cold = false;
    // When the engine aborts its requests to load new weights; nothing if no load is planned.
    std::optional<Base::TimePoint> abortsAt;
    // How many times slower than usual the engine says that it runs; zero if it is not slow or does not say.
    double pace = 0;
    // Limit on the slots that this router reuses while more urgent requests wait elsewhere.
    std::optional<Scheduling::ReuseLimit> reuse {};
};

// This router's part of the limit that a target names.
struct LimitBucket {
    // What the share was computed from.
    struct Basis {
        double requestsPerSecond = 0;
        uint64_t routersVersion = 0;

        bool operator==(const Basis&) const = default;
    };

    Basis basis;
    // Requests per second; zero while the other routers send them.
    double share = 0;
    double tokens = 0;
    Base::TimePoint refilledAt {};

    // Starts empty with a new share: others may have used the one before until now.
    void setShare(double newShare, Base::TimePoint now)
    {
        if (newShare == share)
            return;
        share = newShare;
        tokens = 0;
        refilledAt = now;
    }

    double available(Base::TimePoint now) const
    {
        auto elapsed = std::chrono::duration<double>(now - refilledAt).count();
        return std::min(std::max(1.0, share), tokens + elapsed * share);
    }

    void take(Base::TimePoint now)
    {
        tokens = available(now) - 1;
        refilledAt = now;
    }
};

// Bounds the rate of requests to a target while it is cold. Starts with one request.
struct ColdBucket {
    // Requests of this time may be sent at once. All routers together then stay below one and a half times the rate in any
    // second: with a share of less than 1 / burst a router has one request.
    static constexpr std::chrono::milliseconds burst { 200 };

    double tokens = 1;
    // Empty until the first request.
    Base::TimePoint refilledAt {};

    double available(double requestsPerSecond, Base::TimePoint now) const
    {
        if (refilledAt == Base::TimePoint())
            return tokens;
        auto capacity = std::max(1.0, std::chrono::duration<double>(burst).count() * requestsPerSecond);
        auto elapsed = std::chrono::duration<double>(now - refilledAt).count();
        return std::min(capacity, tokens + elapsed * requestsPerSecond);
    }

    void take(double requestsPerSecond, Base::TimePoint now)
    {
        tokens = available(requestsPerSecond, now) - 1;
        refilledAt = now;
    }
};

// Load and health of one target as seen by this router.
struct TargetRuntime {
    // Older reports are ignored.
    static constexpr std::chrono::milliseconds reportLifetime { 1000 };
    // A report that the engine holds no weights to rely on, or is about to load, goes before its published entry for this
    // time, also if its agent has stopped reporting. Longer than an agent stands still or needs to start again; without an
    // agent the engine gets no other weights either.
    static constexpr std::chrono::milliseconds unusableLifetime { 60000 };
    // Grants are valid for slightly longer than the interval between reports. An agent that does not report to every
    // router each time may have granted the slots to others by then.
    static constexpr std::chrono::milliseconds grantLifetime { 160 };
    // A slot that a request of this router released stays reserved for the router for this time; the agent grants it to
    // other routers only afterwards.
    static constexpr std::chrono::milliseconds slotRetention { 90 };
    // A router whose reuse is limited gives a slot up if no request can have it at once, because requests of other routers
    // wait for it.
    static constexpr std::chrono::milliseconds limitedSlotRetention { 1 };

    // A target counts as silent while it has left requests unanswered for longer, as far as other targets respond.
    static constexpr std::chrono::milliseconds silentAfter { 1000 };
    // The time that an answered request took says nothing of the target afterwards.
    static constexpr std::chrono::milliseconds delayLifetime { 1000 };

    // Requests of this router.
    unsigned inFlight = 0;
    // Requests of other routers as of the last report.
    unsigned inFlightElsewhere = 0;
    TargetReport report;
    Base::TimePoint reportedAt {};
    // Grants of the last report that are not used yet.
    unsigned remainingGrants = 0;
    // Requests that this router started since the last report. The engine processes their prompts one after the other,
    // together with those of other routers.
    unsigned startedSinceReport = 0;
    // Expiry times of the reservations of released slots, the earliest first.
    std::deque<Base::TimePoint> retainedSlots;
    Scheduling::ReuseAllowance reuse;
    TargetKnowledge knowledge;
    LimitBucket limitBucket;
    unsigned consecutiveFailures = 0;
    // Moving average of failed attempts, 0 to 1.
    double failureShare = 0;
    Base::TimePoint backoffUntil {};
    // Attempts in a row at which the target was silent for longer than expected, and until when it gets no requests for that
    // while others respond.
    unsigned consecutiveSilences = 0;
    Base::TimePoint silentUntil {};
    // Requests of this router to which the target has not begun to respond, by the time of their assignment. What was
    // predicted is set for services with a model.
    std::multimap<Base::TimePoint, std::optional<PredictedPlacement>> unanswered;
    // Time from the assignment of the last answered request to the first part of its response, and when that came.
    Base::Duration lastFirstPart {};
    Base::TimePoint lastFirstPartAt {};
    // The latest assignment of an answered request.
    Base::TimePoint answeredAssignedAt {};
    // Of observed to predicted times to the first part, relative to the other targets of the service. Halved fast, because
    // engines are slow for some hundred milliseconds at a time.
    Scheduling::RatioAverage firstPartRatio { std::chrono::milliseconds(300) };
    // Time of the last failed connection attempt.
    Base::TimePoint unreachableAt {};
    // When the agent last saw the target end or restart.
    Base::TimePoint endedAt {};
    ColdBucket coldBucket;

    bool hasReport(Base::TimePoint now) const { return reportedAt != Base::TimePoint() && now - reportedAt < reportLifetime; }

    // How long the target has left requests unanswered. One that is older than an answered one says nothing of the others.
    Base::Duration unansweredFor(Base::TimePoint now) const
    {
        auto oldest = unanswered.upper_bound(answeredAssignedAt);
        return oldest == unanswered.end() ? Base::Duration::zero() : now - oldest->first;
    }

    bool isSilent(Base::TimePoint now) const { return silentUntil > now || unansweredFor(now) > silentAfter; }

    // How long a request that is sent now may take to begin at the target. An unanswered request takes longer than it has
    // waited so far; on average twice as long.
    Base::Duration expectedDelay(Base::TimePoint now) const
    {
        auto delay = now - lastFirstPartAt < delayLifetime ? lastFirstPart : Base::Duration::zero();
        return std::max(delay, 2 * unansweredFor(now));
    }

    bool isReportedUnusable(Base::TimePoint now) const
    {
        bool isUnusable = report.wholeVersion == 0 || report.paused;
        return reportedAt != Base::TimePoint() && isUnusable && now - reportedAt < unusableLifetime;
    }

    bool hasGrant(Base::TimePoint now) const { return remainingGrants > 0 && now - reportedAt < grantLifetime; }

    unsigned occupancy(Base::TimePoint now) const { return inFlight + (hasReport(now) ? inFlightElsewhere : 0); }

    void retainSlot(Base::TimePoint now)
    {
        auto until = now + (reuse.isLimited(now) ? limitedSlotRetention : slotRetention);
        retainedSlots.insert(std::upper_bound(retainedSlots.begin(), retainedSlots.end(), until), until);
    }

    bool hasRetainedSlot(Base::TimePoint now) const { return !retainedSlots.empty() && retainedSlots.back() > now; }
};

} // namespace Lavenderloft::Dispatch
