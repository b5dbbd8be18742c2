#pragma once

#include "Dispatch/DispatchState.h"

#include <optional>

namespace Lavenderloft::Dispatch::Queries {

// Remaining quarantine of a request that crashed its targets; nothing if it is not quarantined.
std::optional<std::chrono::milliseconds> quarantinedFor(const DispatchState&, uint64_t fingerprint, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
