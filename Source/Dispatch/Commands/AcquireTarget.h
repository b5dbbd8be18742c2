#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Requests a lease on a target. The observer is used only if the decision is Queued.
Decision acquireTarget(DispatchState&, const RequestTraits&, std::shared_ptr<WaitObserver>, Base::TimePoint now);

// As above for a request that was sent before. Charges the retry budget unless no target has received the request; a retry
// that gets no target is not charged.
Decision acquireForRetry(DispatchState&, const RequestTraits&, bool reachedTarget, std::shared_ptr<WaitObserver>, Base::TimePoint now);

// Removes a request from the queue and refuses it. Returns nothing if the wait has already ended and the observer
// has been or will be notified.
std::optional<Refusal> cancelWait(DispatchState&, const RequestTraits&, const WaitObserver*, Base::TimePoint now);

// Assigns free slots of all services to queued requests.
void serveWaiting(DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
