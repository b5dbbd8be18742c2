#pragma once

#include "Base/Clock.h"
#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"

namespace Lavenderloft::Staging::Queries {

// When the engine beside this agent should begin to load a declared version. Engines take turns, so that
// only a part of them stops taking requests at a time; all turns end before the bound for new weights.
Base::TimePoint planLoad(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const Fleet::DeclaredWeights&);

} // namespace Lavenderloft::Staging::Queries
