#include "Dispatch/Queries/EngineDemand.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Scheduling/Queries/ReadUrgencyRates.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Dispatch::Queries {

namespace {

    bool isEngineService(const Fleet::Configuration& configuration, const std::string& name)
    {
        auto found = configuration.services.find(name);
        return found != configuration.services.end() && found->second.weights;
    }

    // Bands of the urgencies that requests can have.
    std::set<size_t> bandsInUse(const Fleet::Configuration& configuration)
    {
        std::set<size_t> bands;
        for (size_t rank = 0; rank < configuration.urgencies.size(); ++rank)
            bands.insert(Scheduling::DemandByUrgency::bandOf(static_cast<int>(rank)));
        return bands;
    }

} // namespace

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

Scheduling::DemandByUrgency engineDemandByUrgency(DispatchState& state, Base::TimePoint now)
{
    Scheduling::DemandByUrgency demand;
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    if (!snapshot->configuration || bandsInUse(*snapshot->configuration).size() < 2)
        return demand;
    state.forEachService([&](const std::string& name, ServiceState& service) {
        if (!isEngineService(*snapshot->configuration, name))
            return;
        Scheduling::Queries::addRates(demand, service.urgencyRates, now);
        for (auto& waiting : service.waiting)
            ++demand.bands[Scheduling::DemandByUrgency::bandOf(waiting.traits.priority)].waiting;
    });
    return demand;
}

size_t countReuseLimits(DispatchState& state, Base::TimePoint now)
{
    size_t count = 0;
    state.forEachService([&](const std::string&, ServiceState& service) {
        for (auto& [id, runtime] : service.targets)
            count += runtime.reuse.isLimited(now) ? 1 : 0;
    });
    return count;
}

bool isUrgentWaiting(DispatchState& state, const Scheduling::DemandByUrgency& demand)
{
    auto snapshot = Fleet::Queries::currentSnapshot(state.fleet());
    auto bands = snapshot->configuration ? bandsInUse(*snapshot->configuration) : std::set<size_t>();
    return std::any_of(bands.begin(), bands.end(), [&](size_t band) { return band < *bands.rbegin() && demand.bands[band].isUnmet(); });
}

} // namespace Lavenderloft::Dispatch::Queries
