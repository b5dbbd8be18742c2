#pragma once

#include "Routing/LiveRequest.h"
#include "Routing/StreamPosition.h"
#include "Routing/TargetChannel.h"

#include <optional>

namespace Lavenderloft::Routing::Queries {

// The number of the token at which the answer with that head can be continued, or none if it cannot.
std::optional<uint64_t> findResumePoint(const LiveRequest&, const ResponseHead&, const StreamPosition&);

// Whether the resumed answer has repeated all that the caller had of the token.
bool hasRepeatedAll(const StreamPosition&);

} // namespace Lavenderloft::Routing::Queries
