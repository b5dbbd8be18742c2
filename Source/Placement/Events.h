#pragma once

#include "Observability/Event.h"

// Events 2500 to 2999: placement of models and orders to engines.
namespace Lavenderloft::Placement {

using Observability::Event;
using Observability::Level;

inline constexpr Event orderDecided { 2501, "order-decided", Level::Info, "The agent decided on the next order to reach the desired state of its replica." };
inline constexpr Event orderRefused { 2502, "order-refused", Level::Warning, "The engine refused an order or did not respond." };
inline constexpr Event engineChanged { 2503, "engine-changed", Level::Warning, "The incarnation, mode or digest of the engine has changed since the last poll." };
inline constexpr Event engineUnreachable { 2504, "engine-unreachable", Level::Warning, "The engine does not respond." };

inline constexpr Event adapterOrderDecided { 2505, "adapter-order-decided", Level::Info, "The agent decided on the next order to load or unload a declared adapter of its replica." };
inline constexpr Event adapterOrderRefused { 2506, "adapter-order-refused", Level::Warning, "The engine refused an adapter order or did not respond; the replica continues to serve." };

} // namespace Lavenderloft::Placement
