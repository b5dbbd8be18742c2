#include "Dispatch/Queries/FindQuarantine.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

std::optional<std::chrono::milliseconds> quarantinedFor(const DispatchState& state, uint64_t fingerprint, Base::TimePoint now)
{
    return state.crashes().runs().withShard(fingerprint, [&](const CrashHistory::Runs::Entries& entries) -> std::optional<std::chrono::milliseconds> {
        auto found = entries.find(fingerprint);
        if (found == entries.end())
            return std::nullopt;
        std::vector<Base::TimePoint> ends;
        for (auto& run : found->second) {
            auto end = run.brokeAt + CrashHistory::retention;
            if (run.isConfirmed() && end > now)
                ends.push_back(end);
        }
        if (ends.size() < CrashHistory::crashesToQuarantine)
            return std::nullopt;
        // The quarantine ends when fewer crashes than required are retained.
        std::sort(ends.begin(), ends.end(), std::greater<>());
        return std::chrono::ceil<std::chrono::milliseconds>(ends[CrashHistory::crashesToQuarantine - 1] - now);
    });
}

} // namespace Lavenderloft::Dispatch::Queries
