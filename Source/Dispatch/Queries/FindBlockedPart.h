#pragma once

#include "Dispatch/DispatchState.h"

#include <optional>
#include <vector>

namespace Lavenderloft::Dispatch::Queries {

// A prompt part whose requests are refused.
struct BlockedPart {
    uint64_t part = 0;
    std::chrono::milliseconds remaining { 0 };
    // Targets that crashed while a request with the part ran there.
    size_t crashes = 0;
};

// The first blocked one of the parts; nothing if none is blocked.
std::optional<BlockedPart> findBlockedPart(const DispatchState&, const std::vector<PromptPart>&, Base::TimePoint now);

// All blocked parts, sorted by id.
std::vector<BlockedPart> listBlockedParts(const DispatchState&, Base::TimePoint now);

// When the block of the part ends; nothing if it is not blocked.
std::optional<Base::TimePoint> blockEnd(const PartRecord&);

} // namespace Lavenderloft::Dispatch::Queries
