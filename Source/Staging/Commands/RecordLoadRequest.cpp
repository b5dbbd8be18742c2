#include "Staging/Commands/RecordLoadRequest.h"

namespace Lavenderloft::Staging::Commands {

namespace {

    void settle(LoadState& state)
    {
        state.pending.reset();
        state.lifeCycle.settle();
    }

    // The engine has loaded whole pieces. Layers that it loaded before are as they were.
    void settleAsLoaded(LoadState& state)
    {
        state.isInDoubt = state.isInDoubt && !state.pending->replacesAllLayers;
        state.hasLoaded = true;
        settle(state);
    }

    void recordAcceptance(LoadState& state, bool isVerificationValid)
    {
        if (state.pending->acceptedBefore)
            state.acceptedLoads = *state.pending->acceptedBefore + 1;
        if (isVerificationValid)
            settleAsLoaded(state);
        else
            state.lifeCycle.accept();
    }

    // The last attempt had no effect. Earlier ones that were not answered may have one.
    void recordRejection(LoadState& state)
    {
        if (state.pending->hasUnansweredAttempt)
            return;
        // The engine has accepted a request, and it was not the pending one: one of an earlier process.
        bool isOtherAccepted = state.lifeCycle.phase() == LoadPhase::Unverified;
        state.isInDoubt = state.isInDoubt || isOtherAccepted;
        settle(state);
    }

} // namespace

void recordLoadRequest(LoadState& state, PendingLoad load)
{
    bool isRepeated = !state.lifeCycle.request();
    if (isRepeated)
        return;
    state.pending = std::move(load);
}

void recordLoadResponse(LoadState& state, const std::optional<LoadResponse>& response, bool isVerificationValid)
{
    // The engine restarted meanwhile.
    if (!state.pending)
        return;
    if (!response) {
        state.pending->hasUnansweredAttempt = true;
        return;
    }
    switch (*response) {
    case LoadResponse::Started:
        recordAcceptance(state, isVerificationValid);
        break;
    case LoadResponse::AlreadyLoaded:
        state.lifeCycle.accept();
        break;
    case LoadResponse::Conflict:
    case LoadResponse::Refused:
        recordRejection(state);
        break;
    }
}

void recordLoadVerification(LoadState& state, bool provesLoad)
{
    if (state.lifeCycle.phase() != LoadPhase::Unverified)
        return;
    if (provesLoad) {
        settleAsLoaded(state);
        return;
    }
    state.isInDoubt = true;
    settle(state);
}

} // namespace Lavenderloft::Staging::Commands
