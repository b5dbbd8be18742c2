#pragma once

#include "Observability/Event.h"

namespace Lavenderloft::Peering::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event routerFound { 1201, "router_found", Level::Info, "Another router was heard for the first time." };
inline constexpr Event storeReached { 1202, "store_reached", Level::Info, "The store of published items answers again." };
inline constexpr Event storeLost { 1203, "store_lost", Level::Warning, "The store of published items does not answer; what is known stays in force." };
inline constexpr Event itemsApplied { 1204, "items_applied", Level::Info, "Published items came into force; says from whom they came." };
inline constexpr Event itemUnreadable { 1205, "item_unreadable", Level::Warning, "A published item cannot be read and names nothing." };
inline constexpr Event configurationInForce { 1206, "configuration_in_force", Level::Info, "Another version of the configuration is in force here." };
inline constexpr Event messageUnreadable { 1207, "message_unreadable", Level::Warning, "A datagram that is no message of a node was dropped." };

} // namespace Lavenderloft::Peering::Events
