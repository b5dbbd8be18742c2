#include "Standin/Queries/WeightStoreQueries.h"

namespace Lavenderloft::Standin::Queries {

WeightStoreCounters weightStoreCounters(const WeightStoreState& state)
{
    WeightStoreCounters total;
    total.manifestRequests = state.manifestRequests;
    state.counters.forEach([&](auto& digest, auto& counters) {
        total.chunkRequests += counters.requests;
        total.chunkBytes += counters.bytes;
        total.chunks[digest] = counters;
    });
    return total;
}

std::optional<std::string> chunkBytes(const WeightStoreState& state, const std::string& digest)
{
    auto location = state.chunkLocations.find(digest);
    if (!location)
        return std::nullopt;
    return location->model->chunk(location->index);
}

} // namespace Lavenderloft::Standin::Queries
