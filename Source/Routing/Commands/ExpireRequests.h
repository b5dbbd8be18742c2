#pragma once

#include "Routing/RoutingContext.h"

namespace Lavenderloft::Routing::Commands {

// Interval between checks of deadlines and scheduled attempts.
inline constexpr std::chrono::milliseconds expiryInterval { 20 };

// Ends requests whose deadline has passed and starts scheduled attempts that are due.
void expireRequests(const RunningRequests&, Base::TimePoint now);

// Ends all requests when the router stops. Returns the number of requests ended.
size_t abandonRequests(const RunningRequests&);

} // namespace Lavenderloft::Routing::Commands
