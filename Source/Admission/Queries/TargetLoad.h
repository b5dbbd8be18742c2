#pragma once

#include "Admission/PermitTable.h"
#include "Membership/Member.h"

namespace Lavenderloft::Admission::Queries {

// What the agent reports of its target's load. Permits count as running.
Membership::TargetLoad targetLoad(const PermitTable&, unsigned queued, bool accepting);

} // namespace Lavenderloft::Admission::Queries
