#include "Staging/Commands/RecordLoadRequest.h"

namespace Lavenderloft::Staging::Commands {

namespace {

    void recordAcceptance(LoadState& state, bool isVerificationValid)
    {
        state.isInherited = false;
        if (state.pending->acceptedBefore)
            state.acceptedLoads = *state.pending->acceptedBefore + 1;
        if (isVerificationValid && !state.isInDoubt) {
            settleAsLoaded(state);
            return;
        }
        // Layers in doubt are held until the engine has loaded others.
        state.pending->isVerified = isVerificationValid;
        state.lifeCycle.accept();
    }

    // The engine holds the layers already. That tells nothing of when it loaded them, unless an earlier attempt did it.
    void recordEarlierLoad(LoadState& state)
    {
        if (state.pending->hasUnansweredAttempt)
            state.lifeCycle.accept();
        else
            settleInDoubt(state);
    }

    // The last attempt had no effect. Earlier ones that were not answered may have one.
    void recordRejection(LoadState& state)
    {
        if (state.pending->hasUnansweredAttempt)
            return;
        // The engine has accepted a request meanwhile, and it was not this one.
        if (state.lifeCycle.phase() == LoadPhase::Unverified)
            settleInDoubt(state);
        else
            abandonLoad(state);
    }

} // namespace

void recordInheritedPiecesWhole(LoadState& state)
{
    state.isInDoubt = false;
    state.isInherited = false;
    state.hasLoaded = true;
}

void settleAsLoaded(LoadState& state)
{
    state.isInDoubt = state.isInDoubt && !state.pending->replacesAllLayers;
    state.hasLoaded = true;
    abandonLoad(state);
}

void settleInDoubt(LoadState& state)
{
    state.isInDoubt = true;
    state.isInherited = false;
    abandonLoad(state);
}

void abandonLoad(LoadState& state)
{
    state.pending.reset();
    state.lifeCycle.settle();
}

void recordLoadRequest(LoadState& state, PendingLoad load)
{
    bool isRepeated = !state.lifeCycle.request();
    if (isRepeated)
        state.pending->requestedAt = load.requestedAt;
    else
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
        recordEarlierLoad(state);
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
    if (provesLoad)
        state.pending->isVerified = true;
    else
        settleInDoubt(state);
}

} // namespace Lavenderloft::Staging::Commands
