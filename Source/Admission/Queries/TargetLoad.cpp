#include "Admission/Queries/TargetLoad.h"

namespace Lavenderloft::Admission::Queries {

Membership::TargetLoad targetLoad(const PermitTable& table, unsigned queued, bool accepting)
{
    auto figures = table.occupancy.figures();
    Membership::TargetLoad load;
    load.running = figures.taken;
    load.limit = figures.limit;
    load.queued = queued;
    load.heldBytes = figures.heldBytes;
    load.accepting = accepting;
    return load;
}

} // namespace Lavenderloft::Admission::Queries
