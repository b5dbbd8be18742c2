#pragma once

#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Commands {

// Notes that a request runs on a target, and that it no longer does.
void recordRunStart(QuarantineTable&, const std::string& target, uint64_t fingerprint);
void recordRunEnd(QuarantineTable&, const std::string& target, uint64_t fingerprint);

// Notes that the target's engine crashed while the request ran. All requests under way there are
// recorded as well, since any of them may be the cause.
void recordCrash(QuarantineTable&, const std::string& target, uint64_t fingerprint, Base::TimePoint now);

// Adds crashReports of other routers. They convict only after the exchange time.
void mergeCrashReports(QuarantineTable&, const std::vector<CrashReport>&, Base::TimePoint now);

// Drops crashes older than the retention.
void expireCrashes(QuarantineTable&, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Commands
