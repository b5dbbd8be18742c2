#include "Scheduling/FairShares.h"

#include <algorithm>

namespace Lavenderloft::Scheduling {

namespace {

    size_t bandOf(int urgency)
    {
        return static_cast<size_t>(std::clamp(urgency, 0, static_cast<int>(SharesByUrgency::bandCount) - 1));
    }

} // namespace

FairShares& SharesByUrgency::at(int urgency)
{
    return bands[bandOf(urgency)];
}

const FairShares& SharesByUrgency::at(int urgency) const
{
    return bands[bandOf(urgency)];
}

} // namespace Lavenderloft::Scheduling
