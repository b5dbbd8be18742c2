#pragma once

#include "Standin/WeightStoreState.h"

#include <optional>

namespace Lavenderloft::Standin::Queries {

WeightStoreCounters weightStoreCounters(const WeightStoreState&);

// The unchanged bytes of a chunk; empty if no model has it.
std::optional<std::string> chunkBytes(const WeightStoreState&, const std::string& digest);

} // namespace Lavenderloft::Standin::Queries
