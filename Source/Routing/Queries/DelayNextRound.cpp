#include "Routing/Queries/DelayNextRound.h"

namespace Lavenderloft::Routing::Queries {

namespace {

    // Delay between two rounds of attempts for a hazard message.
    constexpr std::chrono::milliseconds hazardRetryInterval { 50 };

} // namespace

std::optional<Base::Duration> delayNextRound(const LiveRequest& request, bool responseStarted, bool callerDisconnected, Base::TimePoint now)
{
    bool mayWait = responseStarted || request.priorityClass == DesiredState::PriorityClass::Hazard;
    if (!mayWait || callerDisconnected)
        return std::nullopt;
    Base::Duration delay = responseStarted ? resumeRetryInterval : hazardRetryInterval;
    if (now + delay >= request.deadline)
        return std::nullopt;
    return delay;
}

} // namespace Lavenderloft::Routing::Queries
