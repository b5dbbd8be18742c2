#pragma once

#include "Base/Result.h"
#include "Routing/StreamPosition.h"

namespace Lavenderloft::Routing::Commands {

enum class StreamErrorKind {
    // The resumed response differs from the part already sent to the caller.
    Mismatch,
};

using StreamError = Base::Error<StreamErrorKind>;

// Prepares for a response that starts at the token of which only a part was sent to the caller.
void resumeStream(StreamPosition&);

// Removes the bytes that the caller already has from the part, and advances the position by the rest.
Base::Result<Base::Done, StreamError> advanceStream(StreamPosition&, std::string& part);

} // namespace Lavenderloft::Routing::Commands
