#pragma once

#include "Base/Result.h"

namespace Lavenderloft::Weights {

enum class WeightErrorKind {
    // A manifest that cannot be read or that contradicts itself.
    MalformedManifest,
    // Bytes whose SHA-256 is not the digest asked for.
    WrongDigest,
    // The model does not fit in `weightMemoryBytes`.
    MemoryBudgetExceeded,
    // The chunk or manifest is not wanted, or no longer.
    NotWanted,
    // The source does not hold what was asked for.
    NotHeld,
    // The source has no free upload slot.
    Busy,
    // The source could not be reached or broke off.
    Unreachable,
    // The source made no progress within the limit.
    Stalled,
    Cancelled,
};

using WeightError = Base::Error<WeightErrorKind>;

} // namespace Lavenderloft::Weights
