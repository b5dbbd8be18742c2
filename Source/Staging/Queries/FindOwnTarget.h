#pragma once

#include "Fleet/FleetSnapshot.h"
#include "Fleet/NodeSettings.h"
#include "Scheduling/Queries/ShareFreedSlots.h"
#include "Staging/EngineProtocol.h"
#include "Staging/EngineStart.h"

#include <memory>
#include <optional>

namespace Lavenderloft::Staging::Queries {

// Returns the published target of the local engine, or null.
std::shared_ptr<const Fleet::KnownTarget> findOwnTarget(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&);

// Number of further requests that the local engine could start now.
unsigned countFreeSlots(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const EngineReport&);

// Slots of the local engine, and those of all engines that are in use.
Scheduling::Queries::EnginePart findEnginePart(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&);

// The configured request rate per second of the local engine while it is cold; nullopt if it is not cold or has no
// such limit.
std::optional<double> findColdRate(const Fleet::FleetSnapshot&, const Fleet::NodeSettings&, const EngineStart&, Base::TimePoint now);

} // namespace Lavenderloft::Staging::Queries
