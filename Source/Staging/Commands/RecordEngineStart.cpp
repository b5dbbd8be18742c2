#include "Staging/Commands/RecordEngineStart.h"

namespace Lavenderloft::Staging::Commands {

void recordEngineStart(EngineStart& start, uint64_t startedAt, const Fleet::FleetSnapshot& snapshot, const Fleet::NodeSettings& settings, Base::TimePoint now)
{
    if (startedAt == start.startedAt)
        return;
    bool wasKnown = start.startedAt != 0;
    start.startedAt = startedAt;
    if (!wasKnown || !snapshot.configuration)
        return;
    auto service = snapshot.configuration->services.find(settings.localService);
    if (service != snapshot.configuration->services.end())
        start.coldUntil = now + service->second.coldStart;
}

} // namespace Lavenderloft::Staging::Commands
