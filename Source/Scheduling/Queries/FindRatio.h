#pragma once

#include "Scheduling/RatioAverage.h"

namespace Lavenderloft::Scheduling::Queries {

// Geometric mean of the recent ratios, which approaches 1 as they lose their weight.
double findRatio(const RatioAverage&, Base::TimePoint now);

// Factor by which the weights have fallen since they were last decayed.
double remainingShare(const RatioAverage&, Base::TimePoint now);

} // namespace Lavenderloft::Scheduling::Queries
