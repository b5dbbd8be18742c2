#pragma once

#include "Weights/OriginRecord.h"

namespace Lavenderloft::Weights::Commands {

void recordOriginSuccess(OriginRecord&);

// Begins a pause that grows with each failure in sequence.
void recordOriginFailure(OriginRecord&, Base::TimePoint);

} // namespace Lavenderloft::Weights::Commands
