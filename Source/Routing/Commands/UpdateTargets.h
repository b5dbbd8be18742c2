#pragma once

#include "DesiredState/Document.h"
#include "Membership/Member.h"
#include "Routing/TargetTable.h"

namespace Lavenderloft::Routing::Commands {

// Targets of one pool to which a router keeps connections (design, section 4.8).
inline constexpr size_t subsetSize = 24;

// Places of the subset kept for other data centres when there are any, so that a request can leave a
// data centre whose targets all refuse.
inline constexpr size_t subsetReserve = 6;

// Brings the table in line with the desired state and the members. Targets in a data centre taken out,
// drained or leaving ones, and those without the wanted digest are in no pool's list afterwards. Load
// and attempts under way of targets that stay are kept.
void updateTargets(TargetTable&, const DesiredState::Document&, const std::vector<Membership::Member>&, const Membership::Member& self);

} // namespace Lavenderloft::Routing::Commands
