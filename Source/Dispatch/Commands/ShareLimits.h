#pragma once

#include "Dispatch/DispatchState.h"

namespace Lavenderloft::Dispatch::Commands {

// Updates this router's parts of the limits that targets of the service name. They change with the limits and with the
// routers that are alive. The caller holds the service's lock.
void updateLimitShares(const DispatchState&, const std::string& serviceName, ServiceState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Commands
