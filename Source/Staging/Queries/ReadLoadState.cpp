#include "Staging/Queries/ReadLoadState.h"

namespace Lavenderloft::Staging::Queries {

bool canRelyOnLayers(const LoadState& state)
{
    return !state.isInDoubt && state.lifeCycle.phase() != LoadPhase::Unverified;
}

bool canRelyOnInheritedPieces(const LoadState& state, const EngineReport& report, const Fleet::HeldLayers& all)
{
    return state.isInherited && !state.pending && !report.busy && report.layers == all;
}

std::optional<DesiredWeights> findPendingWeights(const LoadState& state)
{
    return state.pending ? std::optional(state.pending->weights) : std::nullopt;
}

Fleet::HeldLayers chooseLayers(const LoadState& state, const std::optional<Fleet::HeldLayers>& held, uint64_t version, unsigned layerCount)
{
    Fleet::HeldLayers all { 0, layerCount, version };
    bool mayKeep = state.hasLoaded && !state.isInDoubt;
    if (!held || held->version != version || mayKeep || layerCount < 2)
        return all;
    if (held->from > 0)
        return { 0, held->from, version };
    if (held->to < layerCount)
        return { held->to, layerCount, version };
    return { 0, layerCount / 2, version };
}

bool replacesAllLayers(const Fleet::HeldLayers& requested, const std::optional<Fleet::HeldLayers>& held)
{
    if (!held || held->version != requested.version)
        return true;
    return held->to <= requested.from || requested.to <= held->from;
}

} // namespace Lavenderloft::Staging::Queries
