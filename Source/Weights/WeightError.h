#pragma once

#include "Base/Result.h"

namespace Lavenderloft::Weights {

enum class WeightErrorKind {
    // The manifest cannot be parsed or is inconsistent.
    MalformedManifest,
    // The SHA-256 of the received bytes does not match the requested digest.
    WrongDigest,
    // The model does not fit in `weightMemoryBytes`.
    MemoryBudgetExceeded,
    // The chunk or manifest is not wanted, or no longer wanted.
    NotWanted,
    // The source does not hold the requested chunk or manifest.
    NotHeld,
    // The source has no free upload slot.
    Busy,
    // The source could not be reached, or the connection was lost.
    Unreachable,
    // The source made no progress within the limit.
    Stalled,
    Cancelled,
};

using WeightError = Base::Error<WeightErrorKind>;

} // namespace Lavenderloft::Weights
