#pragma once

#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Queries {

// Checks whether two targets crashed with the fingerprint as the only one in common, and whether all reports on
// these crashes should have arrived.
QuarantineStatus findQuarantine(const QuarantineTable&, uint64_t fingerprint, Base::TimePoint now);

// Lists the fingerprints of all crash records, for other routers.
std::vector<CrashReport> listCrashReports(const QuarantineTable&, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
