#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Gives the places that are free to waiting requests, in their order. The service's state is locked by the
// caller.
void serveQueue(DispatchState&, ServiceState&, Base::TimePoint now);

// Takes a place at one of the free candidates; nothing if there is none.
std::optional<Lease> takePlace(DispatchState&, ServiceState&, const RequestTraits&, Base::TimePoint now);

// Load of the service as the request finds it.
ServiceLoad describeLoad(DispatchState&, const ServiceState&, const RequestTraits&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
