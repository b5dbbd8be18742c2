#include "Dispatch/Commands/RecordOutcome.h"

#include "Dispatch/Commands/ServeQueue.h"
#include "Fleet/Queries/ReadFleet.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>

namespace Lavenderloft::Dispatch::Commands {

namespace {

    using namespace std::chrono_literals;

    // Weight of one attempt in the moving share of failures.
    constexpr double failureWeight = 0.15;
    // A target that failed is avoided for this time, doubled with each failure in a row.
    constexpr std::chrono::milliseconds shortestAvoidance = 250ms;
    constexpr std::chrono::milliseconds longestAvoidance = 4000ms;
    // A target that is full is left alone until its load is likely to have changed.
    constexpr std::chrono::milliseconds fullAvoidance = 60ms;
    // Its entry is out of date; a new one comes within about a heartbeat.
    constexpr std::chrono::milliseconds misdirectedAvoidance = 700ms;
    // One failure may be chance; from this many in a row on, a target is avoided.
    constexpr unsigned toleratedFailures = 1;
    constexpr std::chrono::seconds rateWindow = 2s;

    void noteFailure(TargetRuntime& runtime, Base::TimePoint now)
    {
        ++runtime.consecutiveFailures;
        if (runtime.consecutiveFailures <= toleratedFailures)
            return;
        auto doublings = std::min(runtime.consecutiveFailures - toleratedFailures - 1, 4u);
        runtime.avoidUntil = now + std::min(shortestAvoidance * (1 << doublings), longestAvoidance);
    }

    void noteResult(TargetRuntime& runtime, AttemptResult result, Base::TimePoint now)
    {
        switch (result) {
        case AttemptResult::Served:
            runtime.consecutiveFailures = 0;
            runtime.failureShare *= 1 - failureWeight;
            return;
        case AttemptResult::Rejected:
            runtime.avoidUntil = std::max(runtime.avoidUntil, now + fullAvoidance);
            return;
        case AttemptResult::Misdirected:
            runtime.avoidUntil = std::max(runtime.avoidUntil, now + misdirectedAvoidance);
            return;
        case AttemptResult::Unreachable:
            runtime.unreachableAt = now;
            [[fallthrough]];
        case AttemptResult::Failed:
            // An engine that is about to load cuts off what it can't end in time.
            if (runtime.hasReport(now) && runtime.report.paused)
                return;
            noteFailure(runtime, now);
            [[fallthrough]];
        case AttemptResult::ErrorAnswer:
            runtime.failureShare = runtime.failureShare * (1 - failureWeight) + failureWeight;
            return;
        case AttemptResult::Abandoned:
            return;
        }
    }

    void countCompletion(ServiceState& service, Base::TimePoint now)
    {
        // An exponentially weighted rate over the window.
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
        if (runtime.underWay > 0)
            --runtime.underWay;
        if (result == AttemptResult::Served)
            runtime.retainedPlaces.push_back(now + TargetRuntime::placeRetention);
        noteResult(runtime, result, now);
        countCompletion(service, now);
        serveQueue(state, service, now);
    });
}

void recordReport(DispatchState& state, const std::string& serviceName, const std::string& targetId, const TargetReport& report, Base::TimePoint now)
{
    state.withService(serviceName, [&](ServiceState& service) {
        auto& runtime = service.targets[targetId];
        auto total = report.running + report.queued;
        runtime.underWayElsewhere = total > runtime.underWay ? total - runtime.underWay : 0;
        runtime.grantsLeft = report.granted;
        runtime.begunSinceReport = 0;
        runtime.report = report;
        runtime.reportedAt = now;
        if (!service.waiting.empty())
            serveQueue(state, service, now);
    });
}

void removeUnpublishedTargets(DispatchState& state)
{
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    state.forEachService([&](const std::string& name, ServiceState& service) {
        std::unordered_set<std::string> published;
        auto targets = snapshot->targetsByService.find(name);
        if (targets != snapshot->targetsByService.end()) {
            for (auto& target : targets->second)
                published.insert(target->entry.id);
        }
        std::erase_if(service.targets, [&](auto& entry) { return entry.second.underWay == 0 && !published.contains(entry.first); });
    });
}

} // namespace Lavenderloft::Dispatch::Commands
