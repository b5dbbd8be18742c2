#pragma once

#include "Staging/GrantableSlots.h"

#include <optional>

namespace Lavenderloft::Staging::Commands {

// Returns how many of the free slots may be granted with the load report that is made now. `coldRate` is the permitted
// request rate per second of a cold engine; empty if it is not limited.
unsigned takeGrantableSlots(GrantableSlots&, unsigned free, std::optional<double> coldRate, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Commands
