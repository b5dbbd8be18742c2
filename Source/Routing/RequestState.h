#pragma once

#include "Routing/AttemptHistory.h"
#include "Routing/CurrentAttempt.h"
#include "Routing/ResponseProgress.h"

#include <mutex>

namespace Lavenderloft::Routing {

// The state of one request that has started. Guarded by its lock, which is not held during calls to channels, attempts
// and writers.
struct RequestState {
    enum class Phase {
        // Between two attempts.
        Waiting,
        Admitting,
        // The request was sent.
        Running,
        // The stream broke, and the agent was asked for the outcome.
        Resolving,
        Ended,
    };

    using Lock = std::unique_lock<std::mutex>;

    RequestState(RoutingContext& context, uint64_t fingerprint)
        : startedAt(context.clock.now())
        , attempt(context, fingerprint)
    {
    }

    bool hasEnded() const { return phase == Phase::Ended; }

    // Whether what was scheduled is due.
    bool isDue(Base::TimePoint now) const { return nextAttemptAt != Base::TimePoint() && now >= nextAttemptAt; }

    // Whether the attempt may have run, whatever its target reports.
    bool isOutcomeOpen() const { return attempt.isSent() || phase == Phase::Resolving; }

    // Closes the current attempt and waits for the next one, which is not scheduled yet. Returns the attempt, so that it
    // can be cancelled without the lock; null if none is open.
    std::shared_ptr<Attempt> releaseAttempt()
    {
        auto released = attempt.release();
        if (released) {
            phase = Phase::Waiting;
            nextAttemptAt = {};
        }
        return released;
    }

    const Base::TimePoint startedAt;
    std::mutex lock;
    Phase phase = Phase::Waiting;
    // When the next attempt is due in the phase Waiting, or the next question in Resolving; zero if none is scheduled.
    Base::TimePoint nextAttemptAt;
    AttemptHistory history;
    CurrentAttempt attempt;
    ResponseProgress response;
    bool callerDisconnected = false;
};

} // namespace Lavenderloft::Routing
