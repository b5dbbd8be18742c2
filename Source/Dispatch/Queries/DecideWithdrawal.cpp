#include "Dispatch/Queries/DecideWithdrawal.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

std::optional<Base::TimePoint> withdrawalTimeOf(const Lease& lease, Base::TimePoint sentAt, Base::Duration silenceLimit)
{
    if (!lease.beginBy)
        return std::nullopt;
    auto halfTime = sentAt + (*lease.beginBy - sentAt) / 2;
    // A target is not expected to respond within less than the limit.
    auto earliest = std::max<Base::TimePoint>(halfTime, sentAt + silenceLimit);
    return std::min<Base::TimePoint>(*lease.beginBy - withdrawalTime, earliest);
}

} // namespace Lavenderloft::Dispatch::Queries
