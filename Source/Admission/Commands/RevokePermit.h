#pragma once

#include "Admission/PermitTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Admission::Commands {

// Revokes the unused permit of an attempt. An attempt of which nothing is known and that never had a
// permit is noted, so that its request is refused if it arrives later. Without effect on an attempt that runs or has ended.
void revokePermit(PermitTable&, const std::string& attemptId, const std::string& permitId, const Base::Clock&);

// Revokes the permit of every attempt that has not started, after an engine restart or a pause.
void revokeAllPermits(PermitTable&, const Base::Clock&);

// Revokes permits past their lifetime and forgets attempts that ended longer ago than the retention.
// Returns the attempts whose permits expired.
std::vector<std::string> expirePermits(PermitTable&, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
