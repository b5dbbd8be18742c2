#include "Standin/Commands/WeightStoreCommands.h"

namespace Lavenderloft::Standin::Commands {

void addModel(WeightStoreState& state, std::shared_ptr<const SyntheticModel> model)
{
    auto& digests = model->chunkDigests();
    for (size_t i = 0; i < digests.size(); ++i)
        state.chunkLocations.set(digests[i], { model, i });
    auto digest = model->digest();
    state.models.set(digest, std::move(model));
}

void corruptChunk(WeightStoreState& state, const std::string& digest, unsigned times)
{
    state.corruptions.set(digest, times);
}

Base::Result<Base::Done, Base::Error<CorruptionErrorKind>> consumeCorruption(WeightStoreState& state, const std::string& digest)
{
    bool consumed = state.corruptions.withShard(digest, [&](auto& entries) {
        auto entry = entries.find(digest);
        if (entry == entries.end() || entry->second == 0)
            return false;
        --entry->second;
        return true;
    });
    if (!consumed)
        return Base::Error<CorruptionErrorKind> { CorruptionErrorKind::NoneLeft, "no corruptions remain for chunk " + digest, {} };
    return Base::Done {};
}

void countChunkRequest(WeightStoreState& state, const std::string& digest)
{
    state.counters.withShard(digest, [&](auto& entries) { ++entries[digest].requests; });
}

void countChunkBytes(WeightStoreState& state, const std::string& digest, uint64_t bytes)
{
    state.counters.withShard(digest, [&](auto& entries) { entries[digest].bytes += bytes; });
}

void resetCounters(WeightStoreState& state)
{
    state.counters.eraseIf([](auto&, auto&) { return true; });
    state.manifestRequests = 0;
}

} // namespace Lavenderloft::Standin::Commands
