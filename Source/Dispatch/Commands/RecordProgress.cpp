#include "Dispatch/Commands/RecordProgress.h"

#include "Dispatch/TargetBackoff.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    void endWait(TargetRuntime& runtime, Base::TimePoint assignedAt)
    {
        auto waiting = runtime.unanswered.find(assignedAt);
        if (waiting != runtime.unanswered.end())
            runtime.unanswered.erase(waiting);
    }

} // namespace

void recordFirstPart(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint assignedAt, Base::TimePoint sentAt, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        service.responseTimes.firstPart.record(now - sentAt, now);
        auto& runtime = service.targets[targetId];
        endWait(runtime, assignedAt);
        runtime.lastFirstPart = now - assignedAt;
        runtime.lastFirstPartAt = now;
        runtime.answeredAssignedAt = std::max(runtime.answeredAssignedAt, assignedAt);
    });
}

void recordUnanswered(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint assignedAt)
{
    state.withService(serviceName, [&](ServiceState& service) { endWait(service.targets[targetId], assignedAt); });
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
