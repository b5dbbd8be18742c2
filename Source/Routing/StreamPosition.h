#pragma once

#include <cstdint>
#include <string>

namespace Lavenderloft::Routing {

// How much of a model pool's answer has gone to the caller, so that another target can continue it.
// Changed by Commands/AdvanceStream; where the answer can be resumed tells Queries/FindResumePoint.
struct StreamPosition {
    // A partly forwarded token is kept for the comparison with the resumed answer; a longer one is not
    // kept, and its answer cannot be resumed.
    static constexpr size_t maximumPartialBytes = 16 * 1024;

    // Complete lines forwarded, one for each token.
    uint64_t tokens = 0;
    // What was forwarded of the line that follows; the last line of an answer stays here, as it is no token.
    std::string partialLine;
    bool isPartialLineTooLong = false;
    // Bytes of the partial line that the resumed answer has not repeated yet.
    size_t bytesToRepeat = 0;
};

} // namespace Lavenderloft::Routing
