#pragma once

#include "Base/Clock.h"

namespace Lavenderloft::Scheduling::Queries {

// Number of slots that requests which arrive at random need so that they seldom wait: those in use on average, which is the
// arrival rate times the time that a slot is held, and two standard deviations.
double findHeadroom(double requestsPerSecond, std::chrono::duration<double> holdingTime);

} // namespace Lavenderloft::Scheduling::Queries
