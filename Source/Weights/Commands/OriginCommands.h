#pragma once

#include "Weights/OriginRecord.h"

namespace Lavenderloft::Weights::Commands {

void recordOriginSuccess(OriginRecord&);

// Starts a backoff that grows with each consecutive failure.
void recordOriginFailure(OriginRecord&, Base::TimePoint);

} // namespace Lavenderloft::Weights::Commands
