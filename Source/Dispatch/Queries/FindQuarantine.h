#pragma once

#include "Dispatch/DispatchState.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// Remaining quarantine of a request that crashed its targets; nothing if it is not quarantined.
std::optional<std::chrono::milliseconds> quarantinedFor(const DispatchState&, uint64_t fingerprint, Base::TimePoint now);

// The crashes of all quarantined requests, those that other routers reported included. A router that starts needs them to
// enforce the quarantines.
std::vector<CrashReport> listQuarantineCrashes(const DispatchState&, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
