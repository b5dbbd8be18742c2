#include "Scheduling/UrgencyOrder.h"

namespace Lavenderloft::Scheduling {

bool UrgencyOrder::precedes(const QueuedWork& first, const QueuedWork& second) const
{
    if (first.urgency != second.urgency)
        return first.urgency < second.urgency;
    return first.isInterrupted || !second.isInterrupted;
}

} // namespace Lavenderloft::Scheduling
