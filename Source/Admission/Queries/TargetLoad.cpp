#include "Admission/Queries/TargetLoad.h"

namespace Lavenderloft::Admission::Queries {

Membership::TargetLoad targetLoad(const PermitTable& table, unsigned queued, bool accepting)
{
    auto usage = table.occupancy.usage();
    Membership::TargetLoad load;
    load.running = usage.slots;
    load.limit = usage.limit;
    load.queued = queued;
    load.heldBytes = usage.heldBytes;
    load.accepting = accepting;
    return load;
}

} // namespace Lavenderloft::Admission::Queries
