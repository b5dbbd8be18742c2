#pragma once

#include "Standin/WeightStoreState.h"

namespace Lavenderloft::Standin::Commands {

void addModel(WeightStoreState&, std::shared_ptr<const SyntheticModel>);

// Makes the store serve the chunk corrupted for the given number of times.
void corruptChunk(WeightStoreState&, const std::string& digest, unsigned times);

enum class CorruptionErrorKind {
    NoneLeft,
};

// Takes one of the corruptions of the chunk; an error if none is left.
Base::Result<Base::Done, Base::Error<CorruptionErrorKind>> consumeCorruption(WeightStoreState&, const std::string& digest);

void countChunkRequest(WeightStoreState&, const std::string& digest);
void countChunkBytes(WeightStoreState&, const std::string& digest, uint64_t bytes);
void resetCounters(WeightStoreState&);

} // namespace Lavenderloft::Standin::Commands
