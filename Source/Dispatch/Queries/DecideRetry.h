#pragma once

#include "Fleet/Configuration.h"

#include <string_view>

namespace Lavenderloft::Dispatch::Queries {

// How the last attempt of a request ended, as far as it matters for sending it again.
enum class AttemptEnd {
    // No byte of the request was sent.
    NotSent,
    // The target said that it did not run the request.
    NotExecuted,
    // The connection broke or the answer was unusable; the request may have run.
    Broken,
    // Nothing came for too long; the request may have run.
    TimedOut,
    // The target ran the request and answered with an error.
    ErrorAnswer,
};

// Name of the end in logs.
std::string_view attemptEndName(AttemptEnd);

// What a request has been through.
struct RequestHistory {
    // Attempts that may have run.
    unsigned runs = 0;
    // Attempts of any kind.
    unsigned attempts = 0;
};

// Whether a request may be sent to another target after an attempt that ended so.
bool mayRetry(const Fleet::Route&, const RequestHistory&, AttemptEnd);

} // namespace Lavenderloft::Dispatch::Queries
