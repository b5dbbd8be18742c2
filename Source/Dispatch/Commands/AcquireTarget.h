#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Asks for a target. The observer is used only if the decision is Queued.
Decision acquireTarget(DispatchState&, const RequestTraits&, std::shared_ptr<WaitObserver>, Base::TimePoint now);

// As above for a request that was sent before; needs room in the budget for repeats unless no target has
// received it yet.
Decision acquireForRetry(DispatchState&, const RequestTraits&, bool reachedTarget, std::shared_ptr<WaitObserver>, Base::TimePoint now);

// Takes a request out of the queue and refuses it; nothing if its wait has ended and the observer has been
// or will be told.
std::optional<Refusal> cancelWait(DispatchState&, const RequestTraits&, const WaitObserver*, Base::TimePoint now);

// Gives places that have become free to waiting requests.
void serveWaiting(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
