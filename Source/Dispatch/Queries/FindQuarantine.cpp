#include "Dispatch/Queries/FindQuarantine.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    bool isRetained(const BrokenRun& run, Base::TimePoint now)
    {
        return run.isConfirmed() && run.brokeAt + CrashHistory::retention > now;
    }

    // When fewer crashes than required are retained; nothing if there are not as many.
    std::optional<Base::TimePoint> quarantineEnd(const std::vector<BrokenRun>& runs, Base::TimePoint now)
    {
        std::vector<Base::TimePoint> ends;
        for (auto& run : runs) {
            if (isRetained(run, now))
                ends.push_back(run.brokeAt + CrashHistory::retention);
        }
        if (ends.size() < CrashHistory::crashesToQuarantine)
            return std::nullopt;
        std::sort(ends.begin(), ends.end(), std::greater<>());
        return ends[CrashHistory::crashesToQuarantine - 1];
    }

} // namespace

std::optional<std::chrono::milliseconds> quarantinedFor(const DispatchState& state, uint64_t fingerprint, Base::TimePoint now)
{
    return state.crashes().runs().withShard(fingerprint, [&](const CrashHistory::Runs::Entries& entries) -> std::optional<std::chrono::milliseconds> {
        auto found = entries.find(fingerprint);
        auto end = found == entries.end() ? std::nullopt : quarantineEnd(found->second, now);
        if (!end)
            return std::nullopt;
        return std::chrono::ceil<std::chrono::milliseconds>(*end - now);
    });
}

std::vector<CrashReport> listQuarantineCrashes(const DispatchState& state, Base::TimePoint now)
{
    std::vector<CrashReport> reports;
    state.crashes().runs().forEach([&](uint64_t fingerprint, const std::vector<BrokenRun>& runs) {
        if (!quarantineEnd(runs, now))
            return;
        for (auto& run : runs) {
            if (isRetained(run, now))
                reports.push_back({ fingerprint, run.target, run.incarnation, std::chrono::duration_cast<std::chrono::milliseconds>(now - run.brokeAt) });
        }
    });
    return reports;
}

} // namespace Lavenderloft::Dispatch::Queries
