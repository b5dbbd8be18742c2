#include "Staging/Commands/RecordLoadReport.h"

namespace Lavenderloft::Staging::Commands {

namespace {

    using namespace std::chrono_literals;

    // A request without a response is no longer waited for after this time. If it is accepted later, the engine is in doubt.
    constexpr std::chrono::seconds pendingLifetime = 10s;

    bool isCountHigher(const std::optional<uint64_t>& count, const std::optional<uint64_t>& before)
    {
        return count && before && *count > *before;
    }

    // An engine that does not count the requests shows by its layers that it has accepted one.
    bool hasAccepted(const EngineReport& report, const PendingLoad& load)
    {
        if (report.acceptedLoads && load.acceptedBefore)
            return *report.acceptedLoads > *load.acceptedBefore;
        return report.layers == load.layers;
    }

    void startEngine(LoadState& state, const EngineReport& report)
    {
        bool isFirstReport = state.engineStart == 0;
        state = {};
        state.engineStart = report.startedAt;
        state.acceptedLoads = report.acceptedLoads;
        // An earlier process has requested a load, and its pieces may have changed since.
        state.isInDoubt = isFirstReport && report.busy;
    }

    void expire(LoadState& state, Base::TimePoint now)
    {
        if (now - state.pending->requestedAt < pendingLifetime)
            return;
        state.pending.reset();
        state.lifeCycle.settle();
    }

} // namespace

void recordLoadReport(LoadState& state, const EngineReport& report, Base::TimePoint polledAt)
{
    if (report.startedAt != state.engineStart) {
        startEngine(state, report);
        return;
    }
    if (state.lifeCycle.phase() == LoadPhase::Requested) {
        if (hasAccepted(report, *state.pending)) {
            state.lifeCycle.accept();
        } else {
            state.pending->notAcceptedAt = polledAt;
            expire(state, polledAt);
        }
    } else if (isCountHigher(report.acceptedLoads, state.acceptedLoads)) {
        state.isInDoubt = true;
    }
    state.acceptedLoads = std::max(state.acceptedLoads, report.acceptedLoads);
}

} // namespace Lavenderloft::Staging::Commands
