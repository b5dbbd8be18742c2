#pragma once

#include "Streaming/ByteBudget.h"

#include <optional>

namespace Lavenderloft::Streaming::Queries {

// The stream that has waited longest for its reader.
std::optional<std::string> findLongestBlocked(const ByteBudget&);

} // namespace Lavenderloft::Streaming::Queries
