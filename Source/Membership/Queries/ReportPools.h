#pragma once

#include "Membership/MemberTable.h"
#include "Membership/PoolReport.h"

#include <vector>

namespace Lavenderloft::Membership::Queries {

// Reports in one message between data centres. A report takes about 60 bytes and a relay sends and answers about
// one such message per second, so reports use at most 2 KB/s of its 12 KB/s.
inline constexpr size_t maximumReportsPerMessage = 16;

// Counts the replicas of each pool in the local data centre. Returns at most maximumReportsPerMessage reports in
// the order of pool names, starting at `offset` and continuing with the first pool after the last one.
std::vector<PoolReport> reportPools(const MemberTable&, size_t offset);

} // namespace Lavenderloft::Membership::Queries
