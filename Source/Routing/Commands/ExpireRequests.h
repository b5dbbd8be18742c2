#pragma once

#include "Routing/RoutingContext.h"

namespace Lavenderloft::Routing::Commands {

// Interval at which deadlines and waits are looked at.
inline constexpr std::chrono::milliseconds expiryInterval { 20 };

// Ends the requests whose deadline has passed and resumes those whose wait is over.
void expireRequests(const RunningRequests&, Base::TimePoint now);

// Ends all requests, because the router stops, and returns their number.
size_t abandonRequests(const RunningRequests&);

} // namespace Lavenderloft::Routing::Commands
