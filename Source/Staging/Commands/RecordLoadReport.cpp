#include "Staging/Commands/RecordLoadReport.h"

#include "Staging/Commands/RecordLoadRequest.h"

#include <algorithm>

namespace Lavenderloft::Staging::Commands {

namespace {

    using namespace std::chrono_literals;

    // A request without a response is no longer waited for after this time, if it can't be repeated. If it is accepted later,
    // the engine is in doubt.
    constexpr std::chrono::seconds pendingLifetime = 10s;

    bool isHigher(const std::optional<uint64_t>& count, const std::optional<uint64_t>& before)
    {
        return count && before && *count > *before;
    }

    // Whether the engine has accepted the request, or another one with the same count before it. An engine that does not
    // count the requests shows it by its layers.
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
        // An earlier process has requested loads. What became of them, and whether it relied on them, is not known.
        state.isInherited = isFirstReport && (report.busy || report.acceptedLoads.value_or(0) > 0);
        state.isInDoubt = state.isInherited;
    }

    void recordRequestedLoad(LoadState& state, const EngineReport& report, Base::TimePoint polledAt)
    {
        if (hasAccepted(report, *state.pending)) {
            state.lifeCycle.accept();
            return;
        }
        if (!report.busy)
            state.pending->notAcceptedAt = std::max(state.pending->notAcceptedAt, polledAt);
        if (polledAt - state.pending->requestedAt >= pendingLifetime)
            abandonLoad(state);
    }

    // Once the engine has loaded, its layers show whether it accepted the pending request.
    void recordAcceptedLoad(LoadState& state, const EngineReport& report)
    {
        if (!state.pending->isVerified || report.busy || !hasAccepted(report, *state.pending))
            return;
        if (report.layers == state.pending->layers)
            settleAsLoaded(state);
        else
            settleInDoubt(state);
    }

} // namespace

void recordLoadReport(LoadState& state, const EngineReport& report, Base::TimePoint polledAt)
{
    if (report.startedAt != 0 && report.startedAt != state.engineStart) {
        startEngine(state, report);
        return;
    }
    switch (state.lifeCycle.phase()) {
    case LoadPhase::Requested:
        recordRequestedLoad(state, report, polledAt);
        break;
    case LoadPhase::Unverified:
        recordAcceptedLoad(state, report);
        break;
    case LoadPhase::Settled:
        state.isInDoubt = state.isInDoubt || isHigher(report.acceptedLoads, state.acceptedLoads);
        break;
    }
    state.acceptedLoads = std::max(state.acceptedLoads, report.acceptedLoads);
}

} // namespace Lavenderloft::Staging::Commands
