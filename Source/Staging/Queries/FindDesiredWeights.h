#pragma once

#include "Base/Clock.h"
#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Staging/DesiredWeights.h"

#include <cstdint>
#include <optional>

namespace Lavenderloft::Staging::Queries {

// Returns the layout of the local service's weights, or null if it has none.
const Fleet::WeightLayout* findWeightLayout(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&);

// Returns the model version that the local engine, which holds `heldVersion`, should load next; nullopt if its service has
// no weights. Version 1 is in force until a version is declared. The origin is empty if the configuration names none.
//
// This is the last declared version, except while an earlier one is still useful: its distribution was well under way
// when the next one was declared, and engines can serve it for some time before they have to give it up. All agents decide
// alike, because they decide by the times of the declarations: an agent that fetched another version would be missing
// as a source.
std::optional<DesiredWeights> findDesiredWeights(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, uint64_t heldVersion, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Queries
