#pragma once

#include <cstdint>
#include <string>

namespace Lavenderloft::Routing {

// Position up to which the response of a model pool was sent to the caller, from which another target can
// resume it. Modified by Commands/AdvanceStream, read by Queries/FindResumePoint.
struct StreamPosition {
    // Maximum size of a partly forwarded token that is kept for comparison with the resumed response. A response
    // interrupted within a longer token cannot be resumed.
    static constexpr size_t maximumPartialBytes = 16 * 1024;

    // Number of complete lines forwarded. Each line is a token.
    uint64_t tokens = 0;
    // Forwarded part of the next line. The last line of a response is not a token and stays here.
    std::string partialLine;
    bool isPartialLineTooLong = false;
    // Bytes of the partial line that the resumed response has yet to repeat.
    size_t overlapBytes = 0;
};

} // namespace Lavenderloft::Routing
