#pragma once

#include "Observability/Event.h"

// Events 2500 to 2999: placement of models and orders to engines.
namespace Lavenderloft::Placement {

using Observability::Event;
using Observability::Level;

inline constexpr Event orderDecided { 2501, "order-decided", Level::Info, "The agent takes a step towards the desired state of its replica." };
inline constexpr Event orderRefused { 2502, "order-refused", Level::Warning, "The engine refused an order or did not answer it." };
inline constexpr Event engineChanged { 2503, "engine-changed", Level::Warning, "The engine has another incarnation, state or digest than at the last poll." };
inline constexpr Event engineUnreachable { 2504, "engine-unreachable", Level::Warning, "The engine does not answer." };

inline constexpr Event adapterOrderDecided { 2505, "adapter-order-decided", Level::Info, "The agent takes a step towards the declared adapters of its replica." };
inline constexpr Event adapterOrderRefused { 2506, "adapter-order-refused", Level::Warning, "The engine refused an order for an adapter or did not answer it; the replica goes on serving." };

} // namespace Lavenderloft::Placement
