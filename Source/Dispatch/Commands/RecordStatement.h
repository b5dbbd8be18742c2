#pragma once

#include "Dispatch/DispatchState.h"
#include "Dispatch/LimitReport.h"
#include "Dispatch/TargetStatement.h"

namespace Lavenderloft::Dispatch::Commands {

// A target can't hold a router back for longer. Nobody is served by a target that asks for more.
inline constexpr std::chrono::milliseconds maximumHoldBack = std::chrono::minutes(10);

// What a router has learned from a statement.
struct LearnedStatement {
    bool isNewlyLeaving = false;
    // How long the target is held back; empty if the statement does not prolong that.
    std::optional<std::chrono::milliseconds> heldBackFor;
    // The limit is new, has changed or has ended.
    bool hasNewLimit = false;
};

// Records what a target said of itself in a response. It binds all later choices of a target, also for requests that wait
// or are retried. The response belongs to a request that was assigned to the target at the given time.
LearnedStatement recordStatement(DispatchState&, const std::string& service, const Fleet::TargetEntry&, const TargetStatement&, Base::TimePoint assignedAt, Base::TimePoint now);

// Merges what other routers heard of the limits of targets.
void mergeLimitReports(DispatchState&, const std::vector<LimitReport>&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
