#include "Dispatch/Queries/EngineDemand.h"

#include "Fleet/Queries/ReadFleet.h"

namespace Lavenderloft::Dispatch::Queries {

double engineDemand(DispatchState& state, Base::TimePoint now)
{
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    double demand = 0;
    if (!snapshot->configuration)
        return demand;
    auto& services = snapshot->configuration->services;
    state.forEachService([&](const std::string& name, ServiceState& service) {
        auto found = services.find(name);
        if (found != services.end() && found->second.weights)
            demand += service.retryWindow.requestsPerSecond(now);
    });
    return demand;
}

} // namespace Lavenderloft::Dispatch::Queries
