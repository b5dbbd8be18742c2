#pragma once

#include "Base/Clock.h"
#include "Routing/LiveRequest.h"

#include <optional>

namespace Lavenderloft::Routing::Queries {

// Delay between two rounds of attempts to continue or repeat an interrupted request.
inline constexpr std::chrono::milliseconds resumeRetryInterval { 200 };

// Delay before the next round of attempts when no target is left; nullopt if the request fails instead. A hazard
// message and an interrupted request wait until shortly before their deadline.
std::optional<Base::Duration> delayNextRound(const LiveRequest&, bool isInterrupted, bool callerDisconnected, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
