#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Routing/TargetTable.h"

namespace Lavenderloft::Routing::Commands {

// Maximum number of targets in a router's subset of a pool (docs/design.md, section 4.8).
inline constexpr size_t subsetSize = 24;

// Entries of the subset reserved for targets in other data centres, so that requests have an alternative when
// all targets in the local data centre refuse.
inline constexpr size_t subsetReserve = 6;

// Updates the table from the desired state and the member list. The lists of pools and services exclude
// targets that are drained, leaving, in a data centre taken out of service, or without complete weights.
// Targets that remain keep their load and their attempts in flight.
void updateTargets(TargetTable&, const DesiredState::Document&, const std::vector<Membership::Member>&, const Membership::Member& self);

} // namespace Lavenderloft::Routing::Commands
