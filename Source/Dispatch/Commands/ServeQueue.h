#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Assigns free slots to queued requests in order. The caller holds the service's lock.
void serveQueue(DispatchState&, ServiceState&, Base::TimePoint now);

// Acquires a lease on a candidate with free capacity; nothing if there is none.
std::optional<Lease> tryAcquireLease(DispatchState&, ServiceState&, const RequestTraits&, Base::TimePoint now);

// Load of the service in terms of the targets that are eligible for the request.
ServiceLoad describeLoad(DispatchState&, const ServiceState&, const RequestTraits&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
