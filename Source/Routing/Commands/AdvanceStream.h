#pragma once

#include "Base/Result.h"
#include "Routing/StreamPosition.h"

namespace Lavenderloft::Routing::Commands {

enum class StreamErrorKind {
    // The resumed answer has other bytes where a part has gone to the caller.
    Mismatch,
};

using StreamError = Base::Error<StreamErrorKind>;

// Notes that the next answer starts with the token of which a part has gone to the caller.
void resumeStream(StreamPosition&);

// Removes from a part of the answer what the caller has already received, and advances over the rest.
Base::Result<Base::Done, StreamError> advanceStream(StreamPosition&, std::string& part);

} // namespace Lavenderloft::Routing::Commands
