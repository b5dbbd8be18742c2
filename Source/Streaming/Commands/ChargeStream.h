#pragma once

#include "Base/Result.h"
#include "Streaming/ByteBudget.h"

namespace Lavenderloft::Streaming::Commands {

enum class ChargeErrorKind {
    // The streams together would hold more than the budget.
    OverBudget,
};

using ChargeError = Base::Error<ChargeErrorKind>;

// Charges the bytes that a stream holds until its reader has taken them. The budget is never exceeded.
Base::Result<Base::Done, ChargeError> chargeStream(ByteBudget&, const std::string& stream, uint64_t bytes, Base::TimePoint now);

// Releases what the stream holds.
void releaseStream(ByteBudget&, const std::string& stream);

// Charges what an open stream holds beside its parts, before anything is read from it.
Base::Result<Base::Done, ChargeError> openStream(ByteBudget&);

// Releases what openStream charged.
void closeStream(ByteBudget&);

// Lets the part and the stream that have waited longest for room try again. To be called without any lock.
void resumeWaitingStream(ByteBudget&);

} // namespace Lavenderloft::Streaming::Commands
