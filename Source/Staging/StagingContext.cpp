#include "Staging/StagingContext.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Staging/Queries/FindDesiredWeights.h"

#include <limits>

namespace Lavenderloft::Staging {

std::shared_ptr<const Fleet::FleetSnapshot> StagingContext::snapshot() const
{
    return Fleet::Queries::currentSnapshot(fleet);
}

std::optional<DesiredWeights> StagingContext::findDesiredWeights(uint64_t heldVersion) const
{
    return Queries::findDesiredWeights(*snapshot(), settings, heldVersion, clock.now());
}

std::optional<DesiredWeights> StagingContext::findNewestWeights() const
{
    // An engine that holds every version needs none before the last one.
    return findDesiredWeights(std::numeric_limits<uint64_t>::max());
}

Http::PersistentHttpClient StagingContext::clientTo(const Http::Endpoint& endpoint) const
{
    return Http::PersistentHttpClient(loop.get_executor(), endpoint);
}

Http::PersistentHttpClient StagingContext::engineClient() const
{
    return clientTo(*settings.localEngine);
}

} // namespace Lavenderloft::Staging
