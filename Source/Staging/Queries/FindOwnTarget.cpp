#include "Staging/Queries/FindOwnTarget.h"

namespace Lavenderloft::Staging::Queries {

std::shared_ptr<const Fleet::KnownTarget> findOwnTarget(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings)
{
    auto targets = snapshot.targetsByService.find(settings.localService);
    if (targets == snapshot.targetsByService.end())
        return nullptr;
    for (auto& target : targets->second) {
        if (target->entry.address == *settings.localEngine)
            return target;
    }
    return nullptr;
}

unsigned countFreeSlots(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const EngineReport& report)
{
    auto target = findOwnTarget(snapshot, settings);
    auto taken = report.running + report.queued;
    return target && target->entry.slots > taken ? target->entry.slots - taken : 0;
}

Scheduling::Queries::EnginePart findEnginePart(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings)
{
    Scheduling::Queries::EnginePart part;
    auto own = findOwnTarget(snapshot, settings);
    part.ownSlots = own ? own->entry.slots : 0;
    if (!snapshot.configuration)
        return part;
    for (auto& [name, targets] : snapshot.targetsByService) {
        auto service = snapshot.configuration->services.find(name);
        if (service == snapshot.configuration->services.end() || !service->second.weights)
            continue;
        for (auto& target : targets)
            part.fleetSlots += target->entry.draining ? 0 : target->entry.slots;
    }
    return part;
}

std::optional<double> findColdRate(const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, const EngineStart& start, Base::TimePoint now)
{
    if (!snapshot.configuration)
        return std::nullopt;
    auto service = snapshot.configuration->services.find(settings.localService);
    if (service == snapshot.configuration->services.end() || service->second.coldRequestsPerSecond <= 0)
        return std::nullopt;
    auto target = findOwnTarget(snapshot, settings);
    if (now < start.coldUntil || (target && target->isCold(now)))
        return service->second.coldRequestsPerSecond;
    return std::nullopt;
}

} // namespace Lavenderloft::Staging::Queries
