#pragma once

#include <algorithm>
#include <chrono>

namespace Lavenderloft::Dispatch {

// How long a target gets no requests after the given number of failures in a row. A single one may be accidental; from the
// second one on the time doubles up to a limit.
inline std::chrono::milliseconds backoffAfter(unsigned failuresInARow)
{
    constexpr unsigned toleratedFailures = 1;
    constexpr std::chrono::milliseconds initialBackoff { 250 };
    constexpr std::chrono::milliseconds maximumBackoff { 4000 };
    constexpr unsigned maximumDoublings = 4;
    if (failuresInARow <= toleratedFailures)
        return std::chrono::milliseconds(0);
    auto doublings = std::min(failuresInARow - toleratedFailures - 1, maximumDoublings);
    return std::min(initialBackoff * (1 << doublings), maximumBackoff);
}

} // namespace Lavenderloft::Dispatch
