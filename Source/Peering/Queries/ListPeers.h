#pragma once

#include "Peering/PeerTable.h"

#include <optional>

namespace Lavenderloft::Peering::Queries {

// Routers that were heard lately, in the order of their addresses.
std::vector<PeerRouter> liveRouters(const PeerTable&, Base::TimePoint now);

// Routers that may be at work, silent ones included.
size_t countPossibleRouters(const PeerTable&);

// The router to ask for items after a revision: one that knows more, in the data centre if there is one.
std::optional<PeerRouter> routerAhead(const PeerTable&, uint64_t revision, const std::string& dataCentre, Base::TimePoint now);

} // namespace Lavenderloft::Peering::Queries
