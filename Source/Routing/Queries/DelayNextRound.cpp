#include "Routing/Queries/DelayNextRound.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    // Delay between two rounds of attempts for a hazard message.
    constexpr std::chrono::milliseconds hazardRetryInterval { 50 };

} // namespace

std::optional<Base::Duration> delayNextRound(const LiveRequest& request, bool isInterrupted, bool callerDisconnected, Base::TimePoint now)
{
    bool mayWait = isInterrupted || request.priorityClass == DesiredState::PriorityClass::Hazard;
    if (!mayWait || callerDisconnected)
        return std::nullopt;
    Base::Duration delay = isInterrupted ? resumeRetryInterval : hazardRetryInterval;
    if (now + delay >= request.deadline)
        return std::nullopt;
    return delay;
}

} // namespace Lavenderloft::Routing::Queries
