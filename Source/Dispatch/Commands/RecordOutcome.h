#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// How an attempt at a target ended.
enum class AttemptResult {
    Served,
    // The target stated that it did not run the request.
    Rejected,
    // The address belongs to another target, or the target lacks what the request needs.
    Misdirected,
    // The connection to the target failed.
    Unreachable,
    // The target sent no response or an invalid one.
    Failed,
    // The target responded with an error.
    ErrorResponse,
    // Another target responded sooner, while this one was silent.
    Superseded,
    // The caller disconnected or the deadline passed; does not affect the health of the target.
    Abandoned,
};

// Releases the lease and updates the health of the target from the result.
void releaseTarget(DispatchState&, const std::string& service, const std::string& targetId, AttemptResult, Base::TimePoint now);

// Records the report of the target's agent.
void recordReport(DispatchState&, const std::string& service, const std::string& targetId, const TargetReport&, Base::TimePoint now);

// Records that the agent saw the target end or restart.
void recordTargetEnd(DispatchState&, const std::string& service, const std::string& targetId, Base::TimePoint endedAt);

// Removes targets that are no longer published and have no requests in flight. That a target said it leaves is kept for
// some time.
void removeUnpublishedTargets(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
