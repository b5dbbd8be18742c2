#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// How an attempt at a target ended.
enum class AttemptResult {
    Served,
    // The target said that it did not run the request.
    Rejected,
    // Another target has the address, or it lacks what the request needs.
    Misdirected,
    // No connection to the target could be made.
    Unreachable,
    // The target did not answer, or not as it should.
    Failed,
    // The target answered with an error of its own.
    ErrorAnswer,
    // The caller left or the time was up; says nothing of the target.
    Abandoned,
};

// Gives a place back and notes what the attempt says of the target.
void releaseTarget(DispatchState&, const std::string& service, const std::string& targetId, AttemptResult, Base::TimePoint now);

// Notes what the agent beside a target says of it.
void recordReport(DispatchState&, const std::string& service, const std::string& targetId, const TargetReport&, Base::TimePoint now);

// Forgets targets that are no longer published and that have nothing under way.
void removeUnpublishedTargets(DispatchState&);

} // namespace Lavenderloft::Dispatch::Commands
