#pragma once

#include "Observability/Event.h"

// Events 7500 to 7999: published items and peer nodes.
namespace Lavenderloft::Peering::Events {

using Observability::Event;
using Observability::Level;

inline constexpr Event routerFound { 7501, "router-found", Level::Info, "A new router was discovered." };
inline constexpr Event storeReached { 7502, "store-reached", Level::Info, "The store of published items responds." };
inline constexpr Event storeLost { 7503, "store-lost", Level::Warning, "The store of published items does not respond; the last known items stay in force." };
inline constexpr Event itemsApplied { 7504, "items-applied", Level::Info, "Published items from the named source came into force." };
inline constexpr Event itemRetained { 7511, "item-retained", Level::Info, "The store returned from an older copy that shows an earlier version of the item; the version that was acknowledged stays in force." };
inline constexpr Event storeEraChanged { 7512, "store-era-changed", Level::Warning, "The store returned from an older copy; all items are listed again." };
inline constexpr Event staleResponseIgnored { 7513, "stale-response-ignored", Level::Warning, "A response of the store is of an earlier era than what is known, and is ignored." };
inline constexpr Event itemUnreadable { 7505, "item-unreadable", Level::Warning, "A published item cannot be decoded and is ignored." };
inline constexpr Event configurationInForce { 7506, "configuration-in-force", Level::Info, "A different version of the configuration came into force." };
inline constexpr Event storeResponded { 7509, "store-responded", Level::Info, "The store sent changes: the time since the request, and the age of the last change that this node may still lack." };
inline constexpr Event itemsFetched { 7510, "items-fetched", Level::Info, "Items were fetched from another router; revision and size of its response and the time since the request." };
inline constexpr Event demandClamped { 7514, "demand-clamped", Level::Warning, "A message from the named router bears demands that no router can have; they were brought within their bounds." };
inline constexpr Event watchSkippedRevisions { 7515, "watch-skipped-revisions", Level::Warning, "The store answered a watch without changes and named a newer revision than that of the request: changes in between may have been missed." };
inline constexpr Event implausibleEraIgnored { 7516, "implausible-era-ignored", Level::Warning, "The named source gives an era of the store that lies too far ahead of the known one; its items and its position are ignored." };
inline constexpr Event storeRequestUnanswered { 7517, "store-request-unanswered", Level::Info, "The store did not answer a request in time: how long this node waited, how long ago the store last answered, and how long the next request is waited for." };
inline constexpr Event messageUnreadable { 7507, "message-unreadable", Level::Warning, "A datagram that is not a valid peer message was dropped." };
inline constexpr Event declarationLearned { 7508, "declaration-learned", Level::Info, "A declaration of weights, or a more accurate time of it, became known; outdated weights are excluded by its age." };

} // namespace Lavenderloft::Peering::Events
