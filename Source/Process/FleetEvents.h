#pragma once

#include "Observability/Event.h"

namespace Lavenderloft::Process::FleetEvents {

using Observability::Event;
using Observability::Level;

inline constexpr Event nodeStarted { 1401, "node_started", Level::Info, "A node of a platform has started." };
inline constexpr Event nodeDraining { 1402, "node_draining", Level::Info, "The node was told to stop and finishes what it has." };
inline constexpr Event nodeStopped { 1403, "node_stopped", Level::Info, "The node ends." };

} // namespace Lavenderloft::Process::FleetEvents
