#pragma once

#include "Streaming/ByteBudget.h"

#include <optional>

namespace Lavenderloft::Streaming::Queries {

// The stream that has waited longest for its reader, if it has waited since the given time or before.
std::optional<std::string> findLongestBlocked(const ByteBudget&, Base::TimePoint sinceAtLatest = Base::TimePoint::max());

} // namespace Lavenderloft::Streaming::Queries
