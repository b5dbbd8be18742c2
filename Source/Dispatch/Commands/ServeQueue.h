#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Assigns free slots to queued requests in order. The caller holds the service's lock.
void serveQueue(DispatchState&, ServiceState&, Base::TimePoint now);

// Acquires a lease on a candidate with free capacity; nothing if there is none.
std::optional<Lease> tryAcquireLease(DispatchState&, ServiceState&, const RequestTraits&, Base::TimePoint now);

// Load of the service in terms of the targets that are eligible for the request, and of what is served before it.
ServiceLoad describeLoad(DispatchState&, const ServiceState&, const RequestTraits&, const Scheduling::QueuedWork&, Base::TimePoint now);

// The request as it would stand in the queue if it arrived now.
Scheduling::QueuedWork describeArrival(const DispatchState&, const ServiceState&, const RequestTraits&);

// Records that a request which is not in the queue any more is served.
void recordStart(ServiceState&, const Scheduling::QueuedWork&);

// Refuses the queued requests that can't be served before their wait ends, because others take precedence.
void displaceUnservable(DispatchState&, ServiceState&, Base::TimePoint now);

// Takes back what the queued request was charged. The caller removes it from the queue.
void releaseCharges(ServiceState&, const WaitingRequest&);

} // namespace Lavenderloft::Dispatch::Commands
