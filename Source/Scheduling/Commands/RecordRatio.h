#pragma once

#include "Scheduling/RatioAverage.h"

namespace Lavenderloft::Scheduling::Commands {

// Records how long something took and what was predicted. A prediction of zero is ignored.
void recordRatio(RatioAverage&, Base::Duration observed, Base::Duration predicted, Base::TimePoint now);

} // namespace Lavenderloft::Scheduling::Commands
