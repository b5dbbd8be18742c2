#pragma once

#include "Base/Result.h"
#include "Streaming/ByteBudget.h"

namespace Lavenderloft::Streaming::Commands {

enum class ChargeErrorKind {
    // All streams together would exceed the budget.
    OverBudget,
};

using ChargeError = Base::Error<ChargeErrorKind>;

// Charges bytes that a stream holds until its reader has taken them. Fails instead of exceeding the budget.
Base::Result<Base::Done, ChargeError> chargeStream(ByteBudget&, const std::string& stream, uint64_t bytes, Base::TimePoint now);

// Releases all bytes that chargeStream charged for the stream.
void releaseStream(ByteBudget&, const std::string& stream);

// Charges an open stream without its parts. Called before any data is read from it.
Base::Result<Base::Done, ChargeError> openStream(ByteBudget&);

// Releases the charge of openStream.
void closeStream(ByteBudget&);

// Retries the oldest waiting part and the oldest stream that waits to be opened. Must be called without holding a lock.
void resumeWaitingStream(ByteBudget&);

} // namespace Lavenderloft::Streaming::Commands
