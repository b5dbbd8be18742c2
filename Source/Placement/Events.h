#pragma once

#include "Observability/Event.h"

// Events 2500 to 2999: placement of models and orders to engines.
namespace Lavenderloft::Placement {

using Observability::Event;
using Observability::Level;

inline constexpr Event OrderDecided { 2501, "order-decided", Level::Info, "The agent takes a step towards the desired state of its replica." };
inline constexpr Event OrderRefused { 2502, "order-refused", Level::Warning, "The engine refused an order or did not answer it." };
inline constexpr Event EngineChanged { 2503, "engine-changed", Level::Warning, "The engine has another incarnation, state or digest than at the last poll." };
inline constexpr Event EngineUnreachable { 2504, "engine-unreachable", Level::Warning, "The engine does not answer." };

} // namespace Lavenderloft::Placement
