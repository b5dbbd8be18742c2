#pragma once

#include "Admission/PermitTable.h"

#include <string>
#include <vector>

namespace Lavenderloft::Admission::Commands {

// Revokes the unused permit of an attempt. With an empty permit ID, an unknown attempt is recorded, so that its
// request is refused if it arrives later. Has no effect on an attempt that is running or has ended.
void revokePermit(PermitTable&, const std::string& attemptId, const std::string& permitId, const Base::Clock&);

// Revokes all unused permits, after a change of the engine or a pause.
void revokeAllPermits(PermitTable&, const Base::Clock&);

// Revokes expired permits and removes attempts that ended before the retention. Returns the attempts whose permits
// expired.
std::vector<std::string> expirePermits(PermitTable&, const Base::Clock&);

} // namespace Lavenderloft::Admission::Commands
