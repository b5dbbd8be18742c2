#include "Dispatch/Commands/RecordProgress.h"

#include "Dispatch/TargetBackoff.h"
#include "Scheduling/Commands/RecordRatio.h"
#include "Scheduling/Queries/FindRatio.h"

#include <algorithm>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    // Returns what was predicted, if anything was.
    std::optional<PredictedPlacement> endWait(TargetRuntime& runtime, Base::TimePoint assignedAt)
    {
        auto waiting = runtime.unanswered.find(assignedAt);
        if (waiting == runtime.unanswered.end())
            return std::nullopt;
        auto predicted = waiting->second;
        runtime.unanswered.erase(waiting);
        return predicted;
    }

    // The part of the target is relative to the others, so that a model which is wrong for all engines alike does not make
    // those look slow that were used last.
    void correctPrediction(ServiceState& service, TargetRuntime& runtime, const PredictedPlacement& predicted, Base::Duration observed, Base::TimePoint now)
    {
        auto bias = Scheduling::Queries::findRatio(service.modelRatio, now);
        auto nominal = predicted.nominal.firstEvent;
        auto expected = std::chrono::duration_cast<Base::Duration>(nominal * bias);
        Scheduling::Commands::recordRatio(runtime.firstPartRatio, observed, expected, now);
        Scheduling::Commands::recordRatio(service.modelRatio, observed, nominal, now);
    }

} // namespace

void recordFirstPart(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint assignedAt, Base::TimePoint sentAt, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        service.responseTimes.firstPart.record(now - sentAt, now);
        auto& runtime = service.targets[targetId];
        if (auto predicted = endWait(runtime, assignedAt))
            correctPrediction(service, runtime, *predicted, now - assignedAt, now);
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
