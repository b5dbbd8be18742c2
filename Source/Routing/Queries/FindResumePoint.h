#pragma once

#include "Routing/LiveRequest.h"
#include "Routing/StreamPosition.h"
#include "Routing/TargetChannel.h"

#include <optional>

namespace Lavenderloft::Routing::Queries {

// Token at which the response can be resumed. Returns std::nullopt if it cannot be resumed.
std::optional<uint64_t> findResumePoint(const LiveRequest&, const ResponseHead&, const StreamPosition&);

// Whether the resumed response has covered the partial token that the caller already had.
bool isOverlapConsumed(const StreamPosition&);

} // namespace Lavenderloft::Routing::Queries
