#pragma once

#include "Base/Result.h"
#include "Standin/PlainServiceState.h"

namespace Lavenderloft::Standin::Commands {

enum class DropErrorKind {
    NoneLeft,
};

using DropError = Base::Error<DropErrorKind>;

void recordExecution(PlainServiceState&, const std::string& callId);

// Consume one of the remaining drops; an error if there is none.
Base::Result<Base::Done, DropError> consumeDropBeforeRun(PlainServiceState&);
Base::Result<Base::Done, DropError> consumeDropAfterRun(PlainServiceState&);

} // namespace Lavenderloft::Standin::Commands
