#pragma once

#include "Admission/LimitState.h"

namespace Lavenderloft::Admission::Commands {

// Takes over limits of the desired state. A changed cold limit counts from the next cold start on.
void configureLimit(LimitState&, const LimitSettings&);

// Takes over the engine's condition. The limit falls to the cold limit when the incarnation or digest
// changes or the engine turns cold, and to zero while the engine is not usable.
void observeEngine(LimitState&, const EngineCondition&, Base::TimePoint now);

// Stops grants until the engine answers the next poll, after a request that broke off or was refused by the engine.
void suspectEngine(LimitState&);

// Counts a completed request.
void observeCompletion(LimitState&, Base::Duration serviceTime);

// Ends the window if it is over: doubles the limit, or lets it fall when requests took more than four
// times as long as usual.
void closeWindow(LimitState&, Base::TimePoint now);

} // namespace Lavenderloft::Admission::Commands
