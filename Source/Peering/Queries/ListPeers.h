#pragma once

#include "Peering/PeerTable.h"

#include "Fleet/NodeSettings.h"

#include <optional>

namespace Lavenderloft::Peering::Queries {

// Routers that were heard lately, in the order of their addresses.
std::vector<PeerRouter> liveRouters(const PeerTable&, Base::TimePoint now);

// As many of the routers as a message can carry, from a position that moves on with each call: all are
// reached in turn.
std::vector<PeerRouter> takeTurn(const std::vector<PeerRouter>& routers, size_t count, size_t& position);

// The routers of the node's region, and the others.
struct RoutersByRegion {
    std::vector<PeerRouter> own;
    std::vector<PeerRouter> others;
};
RoutersByRegion splitByRegion(const std::vector<PeerRouter>&, const Fleet::NodeSettings&);

// Whether a router of the region with a lower address follows the store, so that this one learns from it what
// is published and leaves the store alone.
bool isStoreFollowedByOther(const PeerTable&, const Fleet::NodeSettings&, Base::TimePoint now);

// Routers that may be at work, silent ones included.
size_t countRetainedRouters(const PeerTable&);

// The newest revision that a live router names; zero if there is none.
uint64_t newestRevision(const PeerTable&, Base::TimePoint now);

// The router to ask for items after a revision: one that knows more, in the data centre if there is one.
std::optional<PeerRouter> routerAhead(const PeerTable&, uint64_t revision, const std::string& dataCentre, Base::TimePoint now);

} // namespace Lavenderloft::Peering::Queries
