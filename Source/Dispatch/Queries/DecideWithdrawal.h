#pragma once

#include "Dispatch/Decision.h"

namespace Lavenderloft::Dispatch::Queries {

// When a request without a response has to be withdrawn from its target, so that it does not begin on weights that have
// expired; nothing if they stay valid. The withdrawal may take as long as the request has been under way.
std::optional<Base::TimePoint> withdrawalTimeOf(const Lease&, Base::TimePoint sentAt, Base::Duration silenceLimit);

} // namespace Lavenderloft::Dispatch::Queries
