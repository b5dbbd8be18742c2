#pragma once

#include "Fleet/Configuration.h"

#include <string_view>

namespace Lavenderloft::Dispatch::Queries {

// How the last attempt of a request ended, as far as it matters for a retry.
enum class AttemptEnd {
    // No byte of the request was sent.
    NotSent,
    // The target stated that it did not run the request.
    NotExecuted,
    // The connection broke or the response was invalid; the request may have run.
    Broken,
    // The response timed out; the request may have run.
    TimedOut,
    // The target ran the request and responded with an error.
    ErrorResponse,
};

// Name of the end in logs.
std::string_view attemptEndName(AttemptEnd);

struct RequestHistory {
    // Attempts that may have run.
    unsigned runs = 0;
    // All attempts, including those that did not run.
    unsigned attempts = 0;
    // The caller has part of a response that no other target can continue.
    bool cannotResume = false;
};

// Whether a request may be sent to another target after an attempt that ended in the given way.
bool mayRetry(const Fleet::Route&, const RequestHistory&, AttemptEnd);

} // namespace Lavenderloft::Dispatch::Queries
