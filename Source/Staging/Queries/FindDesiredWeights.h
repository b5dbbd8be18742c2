#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Staging/DesiredWeights.h"

#include <optional>

namespace Lavenderloft::Staging::Queries {

// Returns the model version that the local engine should have loaded; nullopt if its service has no weights. Version 1
// is in force until a version is declared. The origin is empty if the configuration names none.
std::optional<DesiredWeights> findDesiredWeights(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&);

} // namespace Lavenderloft::Staging::Queries
