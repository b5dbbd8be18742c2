#pragma once

#include "Admission/LimitState.h"

namespace Lavenderloft::Admission::Commands {

// Applies the limits of the desired state. A changed cold limit takes effect at the next cold start.
void configureLimit(LimitState&, const LimitSettings&);

// Applies the engine's condition. The limit is reset to the cold limit when the incarnation or digest changes
// or the engine becomes cold, and is zero while the engine is not usable or does not answer.
void observeEngine(LimitState&, const EngineCondition&, Base::TimePoint now);

// Stops grants until the engine answers the next poll. Called after the engine broke off or refused a request.
void suspectEngine(LimitState&);

// Records a completed request.
void observeCompletion(LimitState&, Base::Duration serviceTime);

// Ends the window if its time has elapsed. Doubles the limit if the target completed enough requests, or resets
// it to the cold limit if they took more than four times as long as usual.
void closeWindow(LimitState&, Base::TimePoint now);

} // namespace Lavenderloft::Admission::Commands
