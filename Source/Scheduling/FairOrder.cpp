#include "Scheduling/FairOrder.h"

namespace Lavenderloft::Scheduling {

bool FairOrder::precedes(const QueuedWork& first, const QueuedWork& second) const
{
    if (first.urgency != second.urgency)
        return first.urgency < second.urgency;
    if (first.isInterrupted != second.isInterrupted)
        return first.isInterrupted;
    return first.isInterrupted || first.startTag <= second.startTag;
}

} // namespace Lavenderloft::Scheduling
