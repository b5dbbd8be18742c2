#pragma once

#include "Standin/WeightStoreState.h"

#include <optional>

namespace Lavenderloft::Standin::Queries {

WeightStoreCounters weightStoreCounters(const WeightStoreState&);

// The uncorrupted bytes of a chunk; nullopt if no model contains it.
std::optional<std::string> chunkBytes(const WeightStoreState&, const std::string& digest);

} // namespace Lavenderloft::Standin::Queries
