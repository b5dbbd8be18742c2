#pragma once

#include "Peering/PeerTable.h"

#include "Fleet/NodeSettings.h"

#include <optional>

namespace Lavenderloft::Peering::Queries {

// Routers within PeerTable::routerTimeout, ordered by address.
std::vector<PeerRouter> liveRouters(const PeerTable&, Base::TimePoint now);

// Returns up to `count` routers starting at `position` and advances it, so that consecutive calls cover all routers.
std::vector<PeerRouter> nextInRotation(const std::vector<PeerRouter>& routers, size_t count, size_t& position);

// Routers of the node's own region, and of other regions.
struct RoutersByRegion {
    std::vector<PeerRouter> own;
    std::vector<PeerRouter> others;
};
RoutersByRegion splitByRegion(const std::vector<PeerRouter>&, const Fleet::NodeSettings&);

// Whether a router of the region with a lower address follows the store. This router then receives published items
// from that one and does not follow the store itself.
bool isStoreFollowedByPeer(const PeerTable&, const Fleet::NodeSettings&, Base::TimePoint now);

// Number of live routers of the node's region that take over following the store before this node.
size_t takeoverRank(const PeerTable&, const Fleet::NodeSettings&, Base::TimePoint now);

// Number of known routers, including silent ones, which may still be running.
size_t countRetainedRouters(const PeerTable&);

// The newest position of the live routers; zero if there are none.
Fleet::StorePosition newestPosition(const PeerTable&, Base::TimePoint now);

// Demand of the router by urgency. A router that does not report it counts as one of the least urgent requests. A report
// counts for PeerTable::demandLifetime.
Scheduling::DemandByUrgency currentDemand(const PeerRouter&, Base::TimePoint now);

// Interval between demand replies to one agent, so that those to all agents stay within the part of a router's control
// messages. The reply has that many bytes.
std::chrono::milliseconds demandReplyInterval(const PeerTable&, size_t replyBytes);

// Returns a live router with a newer position, preferably one in the node's data centre.
std::optional<PeerRouter> findRouterAhead(const PeerTable&, Fleet::StorePosition, const Fleet::NodeSettings&, Base::TimePoint now);

} // namespace Lavenderloft::Peering::Queries
