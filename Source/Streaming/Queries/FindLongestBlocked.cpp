#include "Streaming/Queries/FindLongestBlocked.h"

namespace Lavenderloft::Streaming::Queries {

std::optional<std::string> findLongestBlocked(const ByteBudget& budget, Base::TimePoint latestStart)
{
    std::optional<std::string> longest;
    Base::TimePoint since;
    budget.streams().forEach([&](const std::string& stream, const BlockedStream& blocked) {
        if (blocked.since > latestStart || (longest && blocked.since >= since))
            return;
        longest = stream;
        since = blocked.since;
    });
    return longest;
}

} // namespace Lavenderloft::Streaming::Queries
