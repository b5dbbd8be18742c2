#pragma once

#include "Admission/PermitTable.h"
#include "Membership/Member.h"

namespace Lavenderloft::Admission::Queries {

// Load of the target as reported by the agent. Permits count as running requests.
Membership::TargetLoad targetLoad(const PermitTable&, unsigned queued, bool accepting);

} // namespace Lavenderloft::Admission::Queries
