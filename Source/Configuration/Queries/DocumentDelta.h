#pragma once

#include "Base/Result.h"

#include <string>
#include <string_view>

namespace Lavenderloft::Configuration::Queries {

enum class DeltaErrorKind {
    // The delta is corrupt or was made against another base.
    Unreadable,
    TooLarge,
};

using DeltaError = Base::Error<DeltaErrorKind>;

// Compresses the target with zstd, using the base as prefix. A small change of a large document results in a delta
// of a few hundred bytes.
std::string makeDelta(std::string_view base, std::string_view target);

// Reconstructs the target of a delta. A wrong base is not always detected, so the caller must verify the digest.
Base::Result<std::string, DeltaError> applyDelta(std::string_view base, std::string_view delta);

} // namespace Lavenderloft::Configuration::Queries
