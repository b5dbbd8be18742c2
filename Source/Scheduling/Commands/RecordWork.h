#pragma once

#include "Scheduling/FairShares.h"

namespace Lavenderloft::Scheduling::Commands {

// Charges the organisation of a request that arrives, which has its start tag.
void chargeArrival(SharesByUrgency&, const QueuedWork&);

// Records that the request is served.
void recordService(SharesByUrgency&, const QueuedWork&);

// Gives the organisation back what a request was charged that was refused.
void refund(SharesByUrgency&, const QueuedWork&);

} // namespace Lavenderloft::Scheduling::Commands
