#include "Routing/Commands/ForgetDistantLoads.h"

namespace Lavenderloft::Routing::Commands {

void forgetDistantLoads(TargetTable& table)
{
    table.vms().forEach([](const std::string&, const std::shared_ptr<Target>& target) {
        if (target->tier() != Tier::SameDataCentre)
            target->forgetReportedLoad();
    });
}

} // namespace Lavenderloft::Routing::Commands
