#pragma once

#include "Dispatch/DispatchState.h"

#include <optional>

namespace Lavenderloft::Dispatch::Queries {

// How long the request is kept from all targets because it crashed those that ran it; nothing if it is not.
std::optional<std::chrono::milliseconds> quarantinedFor(const DispatchState&, uint64_t fingerprint, Base::TimePoint now);

} // namespace Lavenderloft::Dispatch::Queries
