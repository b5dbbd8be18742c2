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
    auto origin = state.origins.find(digest);
    if (!origin)
        return std::nullopt;
    return origin->model->chunk(origin->index);
}

} // namespace Lavenderloft::Standin::Queries
