#pragma once

#include "Membership/MemberTable.h"
#include "Membership/PoolReport.h"

#include <vector>

namespace Lavenderloft::Membership::Queries {

// Reports in one message between data centres, about 60 bytes each. A relay sends and answers about one such
// message a second, so that reports take at most 2 KB of its 12 KB a second.
inline constexpr size_t maximumReports = 16;

// Counts the replicas of each pool among the members of the own data centre. The reports after the first
// `skipped` are returned, at most maximumReports, from the start again after the last pool.
std::vector<PoolReport> reportPools(const MemberTable&, size_t skipped);

} // namespace Lavenderloft::Membership::Queries
