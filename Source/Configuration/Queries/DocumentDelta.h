#pragma once

#include "Base/Result.h"

#include <string>
#include <string_view>

namespace Lavenderloft::Configuration::Queries {

enum class DeltaErrorKind {
    // The delta was damaged or made against another base.
    Unreadable,
    TooLarge,
};

using DeltaError = Base::Error<DeltaErrorKind>;

// The target compressed by zstd with the base as its prefix: a small change of a large document gives a
// delta of some hundred bytes.
std::string makeDelta(std::string_view base, std::string_view target);

// The target of a delta. The caller compares its digest, since a wrong base may go unnoticed here.
Base::Result<std::string, DeltaError> applyDelta(std::string_view base, std::string_view delta);

} // namespace Lavenderloft::Configuration::Queries
