#include "Routing/Commands/ResetRemoteLoads.h"

namespace Lavenderloft::Routing::Commands {

void resetRemoteLoads(TargetTable& table)
{
    table.vms().forEach([](const std::string&, const std::shared_ptr<Target>& target) {
        if (target->tier() != Tier::SameDataCentre)
            target->resetReportedLoad();
    });
}

} // namespace Lavenderloft::Routing::Commands
