#pragma once

#include "Standin/WeightStoreState.h"

namespace Lavenderloft::Standin::Commands {

void addModel(WeightStoreState&, std::shared_ptr<const SyntheticModel>);

// Corrupts the next `times` responses for the chunk.
void corruptChunk(WeightStoreState&, const std::string& digest, unsigned times);

enum class CorruptionErrorKind {
    NoneLeft,
};

// Consumes one of the remaining corruptions of the chunk; an error if there is none.
Base::Result<Base::Done, Base::Error<CorruptionErrorKind>> consumeCorruption(WeightStoreState&, const std::string& digest);

void countChunkRequest(WeightStoreState&, const std::string& digest);
void countChunkBytes(WeightStoreState&, const std::string& digest, uint64_t bytes);
void resetCounters(WeightStoreState&);

} // namespace Lavenderloft::Standin::Commands
