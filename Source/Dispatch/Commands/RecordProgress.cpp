#include "Dispatch/Commands/RecordProgress.h"

#include "Dispatch/TargetBackoff.h"

namespace Lavenderloft::Dispatch::Commands {

void recordFirstPart(DispatchState& state, const std::string& serviceName, Base::Duration duration, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) { service.responseTimes.firstPart.record(duration, now); });
}

void recordLongestPause(DispatchState& state, const std::string& serviceName, Base::Duration duration, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) { service.responseTimes.longestPause.record(duration, now); });
}

void recordSilence(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        // An engine that is about to load weights aborts requests that it cannot finish in time.
        if (runtime.hasReport(now) && runtime.report.paused)
            return;
        ++runtime.consecutiveSilences;
        runtime.silentUntil = now + backoffAfter(runtime.consecutiveSilences);
    });
}

void recordEndOfSilence(DispatchState& state, const std::string& serviceName, const std::string& targetId)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        runtime.consecutiveSilences = 0;
        runtime.silentUntil = {};
    });
}

} // namespace Lavenderloft::Dispatch::Commands
