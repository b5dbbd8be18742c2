#pragma once

#include "Scheduling/FairShares.h"

namespace Lavenderloft::Scheduling::Queries {

// The start tag that a request of the organisation would get now.
double findStartTag(const SharesByUrgency&, int urgency, std::string_view organisation);

} // namespace Lavenderloft::Scheduling::Queries
