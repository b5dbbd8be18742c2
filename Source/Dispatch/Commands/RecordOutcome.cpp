#include "Dispatch/Commands/RecordOutcome.h"

#include "Dispatch/Commands/ServeQueue.h"
#include "Dispatch/TargetBackoff.h"
#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    // Weight of one attempt in the moving average of failures.
    constexpr double failureWeight = 0.15;
    // For a full target, until its load is likely to have changed.
    constexpr std::chrono::milliseconds rejectedBackoff = 60ms;
    // The entry of the target is out of date; a new one arrives within about a heartbeat.
    constexpr std::chrono::milliseconds misdirectedBackoff = 700ms;
    constexpr std::chrono::seconds rateWindow = 2s;
    constexpr std::chrono::minutes statementRetention = 2min;

    void recordFailure(TargetRuntime& runtime, Base::TimePoint now)
    {
        ++runtime.consecutiveFailures;
        runtime.backoffUntil = std::max<Base::TimePoint>(runtime.backoffUntil, now + backoffAfter(runtime.consecutiveFailures));
    }

    void recordResult(TargetRuntime& runtime, AttemptResult result, Base::TimePoint now)
    {
        switch (result) {
        case AttemptResult::Served:
            runtime.consecutiveFailures = 0;
            runtime.consecutiveSilences = 0;
            runtime.silentUntil = {};
            runtime.knowledge.isProbed = false;
            runtime.failureShare *= 1 - failureWeight;
            return;
        case AttemptResult::Rejected:
            runtime.backoffUntil = std::max(runtime.backoffUntil, now + rejectedBackoff);
            return;
        case AttemptResult::Misdirected:
            runtime.backoffUntil = std::max(runtime.backoffUntil, now + misdirectedBackoff);
            return;
        case AttemptResult::Unreachable:
            runtime.unreachableAt = now;
            [[fallthrough]];
        case AttemptResult::Failed:
            // An engine that is about to load weights aborts requests that it cannot finish in time.
            if (runtime.hasReport(now) && runtime.report.paused)
                return;
            recordFailure(runtime, now);
            [[fallthrough]];
        case AttemptResult::ErrorResponse:
        case AttemptResult::Superseded:
            runtime.failureShare = runtime.failureShare * (1 - failureWeight) + failureWeight;
            return;
        case AttemptResult::Abandoned:
            return;
        }
    }

    void countCompletion(ServiceState& service, Base::TimePoint now)
    {
        // Exponentially weighted moving average over the window.
        constexpr auto window = std::chrono::duration<double>(rateWindow).count();
        auto elapsed = std::chrono::duration<double>(now - service.completionsCountedAt).count();
        service.completionsPerSecond = service.completionsPerSecond * std::exp(-elapsed / window) + 1 / window;
        service.completionsCountedAt = now;
    }

} // namespace

void releaseTarget(DispatchState& state, const std::string& serviceName, const std::string& targetId, AttemptResult result, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        if (runtime.inFlight > 0)
            --runtime.inFlight;
        if (result == AttemptResult::Served)
            runtime.retainSlot(now);
        recordResult(runtime, result, now);
        countCompletion(service, now);
        serveQueue(state, service, now);
    });
}

void recordReport(DispatchState& state, const std::string& serviceName, const std::string& targetId, const TargetReport& report, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        auto total = report.running + report.queued;
        runtime.inFlightElsewhere = total > runtime.inFlight ? total - runtime.inFlight : 0;
        runtime.remainingGrants = report.granted;
        runtime.startedSinceReport = 0;
        runtime.report = report;
        runtime.reuse.setLimit(report.reuse, now);
        runtime.reportedAt = now;
        if (!service.waiting.empty())
            serveQueue(state, service, now);
    });
}

void recordTargetEnd(DispatchState& state, const std::string& serviceName, const std::string& targetId, Base::TimePoint endedAt)
{
    state.withService(serviceName, [&](ServiceState& service) { service.targets[targetId].endedAt = endedAt; });
}

void removeUnpublishedTargets(DispatchState& state, Base::TimePoint now)
{
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    state.forEachService([&](const std::string& name, ServiceState& service) {
        std::unordered_set<std::string> published;
        auto targets = snapshot->targetsByService.find(name);
        if (targets != snapshot->targetsByService.end()) {
            for (auto& target : targets->second)
                published.insert(target->entry.id);
        }
        std::erase_if(service.targets, [&](auto& entry) {
            auto& knowledge = entry.second.knowledge;
            // The entry of a target that is leaving, holds back or names a limit may be published again.
            bool isLeaving = knowledge.leavingSince && now - *knowledge.leavingSince < statementRetention;
            bool isLimited = knowledge.isLimited() && now - knowledge.limit->statedAt < statementRetention;
            bool isRetained = isLeaving || isLimited || knowledge.heldBackUntil > now;
            return entry.second.inFlight == 0 && !published.contains(entry.first) && !isRetained;
        });
        service.mayHaveLimits = std::any_of(service.targets.begin(), service.targets.end(), [](auto& entry) { return entry.second.knowledge.isLimited(); });
    });
}

} // namespace Lavenderloft::Dispatch::Commands
