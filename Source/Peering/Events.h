#pragma once

#include "Observability/Event.h"

// Events 7500 to 7999: published items and the other nodes of a fleet.
namespace Lavenderloft::Peering::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event routerFound { 7501, "router-found", Level::Info, "Another router was heard for the first time." };
inline constexpr Event storeReached { 7502, "store-reached", Level::Info, "The store of published items answers again." };
inline constexpr Event storeLost { 7503, "store-lost", Level::Warning, "The store of published items does not answer; what is known stays in force." };
inline constexpr Event itemsApplied { 7504, "items-applied", Level::Info, "Published items came into force; says from whom they came." };
inline constexpr Event itemUnreadable { 7505, "item-unreadable", Level::Warning, "A published item cannot be read and names nothing." };
inline constexpr Event configurationInForce { 7506, "configuration-in-force", Level::Info, "Another version of the configuration is in force here." };
inline constexpr Event messageUnreadable { 7507, "message-unreadable", Level::Warning, "A datagram that is no message of a node was dropped." };

} // namespace Lavenderloft::Peering::Events
