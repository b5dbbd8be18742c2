#pragma once

#include "Streaming/ByteBudget.h"

#include <optional>

namespace Lavenderloft::Streaming::Queries {

// The stream that has been blocked longest, if it has been blocked since the given time or earlier.
std::optional<std::string> findLongestBlocked(const ByteBudget&, Base::TimePoint latestStart = Base::TimePoint::max());

} // namespace Lavenderloft::Streaming::Queries
