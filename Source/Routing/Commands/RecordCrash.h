#pragma once

#include "Routing/QuarantineTable.h"

namespace Lavenderloft::Routing::Commands {

// Track the requests in flight on each target.
void recordRunStart(QuarantineTable&, const std::string& target, uint64_t fingerprint);
void recordRunEnd(QuarantineTable&, const std::string& target, uint64_t fingerprint);

// Records a crash of the target's engine while the request ran. All requests in flight on the target are
// recorded, because any of them may be the cause.
void recordCrash(QuarantineTable&, const std::string& target, uint64_t fingerprint, Base::TimePoint now);

// Merges the crash reports of other routers. They take effect after QuarantineTable::exchangeTime.
void mergeCrashReports(QuarantineTable&, const std::vector<CrashReport>&, Base::TimePoint now);

// Removes crashes older than QuarantineTable::retention.
void expireCrashes(QuarantineTable&, Base::TimePoint now);

} // namespace Lavenderloft::Routing::Commands
