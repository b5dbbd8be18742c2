#include "Dispatch/Commands/ShareLimits.h"

#include "Fleet/Queries/ReadFleet.h"

namespace Lavenderloft::Dispatch::Commands {

void updateLimitShares(const DispatchState& state, const std::string& serviceName, ServiceState& service, Base::TimePoint now)
{
    if (!service.mayHaveLimits)
        return;
    auto routers = state.routersVersion();
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    auto published = snapshot->targetsByService.find(serviceName);
    if (published == snapshot->targetsByService.end())
        return;
    for (auto& target : published->second) {
        auto found = service.targets.find(target->entry.id);
        if (found == service.targets.end() || !found->second.knowledge.isLimited())
            continue;
        auto& bucket = found->second.limitBucket;
        LimitBucket::Basis basis { *found->second.knowledge.limit->requestsPerSecond, routers };
        if (bucket.basis == basis)
            continue;
        bucket.basis = basis;
        bucket.setShare(state.limitShare(target->entry, basis.requestsPerSecond), now);
    }
}

} // namespace Lavenderloft::Dispatch::Commands
