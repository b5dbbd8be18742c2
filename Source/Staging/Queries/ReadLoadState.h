#pragma once

#include "Fleet/TargetEntry.h"
#include "Staging/EngineProtocol.h"
#include "Staging/LoadState.h"

#include <optional>

namespace Lavenderloft::Staging::Queries {

// Whether the layers that the engine reports were loaded from whole pieces of their version.
bool canRelyOnLayers(const LoadState&);

// Whether whole pieces of a version, which this process has not stored, show that the engine loaded whole ones.
bool canRelyOnInheritedPieces(const LoadState&, const EngineReport&, const Fleet::HeldLayers& all);

// The weights of a load request that may still be accepted. The pieces of no other version may be stored before that is
// settled, because the engine would load them.
std::optional<DesiredWeights> findPendingWeights(const LoadState&);

// Chooses the layers that the next load request names. An engine does not load layers again that it holds. Layers that
// can't be relied on are therefore replaced in steps: the engine is asked for some of them, which ends the others, then
// for the others alone, and then for all.
Fleet::HeldLayers chooseLayers(const LoadState&, const std::optional<Fleet::HeldLayers>& held, uint64_t version, unsigned layerCount);

// Whether the engine that loads these layers keeps none that it loaded earlier.
bool replacesAllLayers(const Fleet::HeldLayers& requested, const std::optional<Fleet::HeldLayers>& held);

} // namespace Lavenderloft::Staging::Queries
