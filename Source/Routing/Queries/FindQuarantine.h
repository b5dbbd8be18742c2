#pragma once

#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Queries {

// Whether two targets crashed with the fingerprint as the only one common to both crashes, and whether
// the reports on these crashes are complete.
QuarantineFinding findQuarantine(const QuarantineTable&, uint64_t fingerprint, Base::TimePoint now);

// All crash records in the form in which routers exchange them.
std::vector<CrashReport> listCrashReports(const QuarantineTable&, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Queries
