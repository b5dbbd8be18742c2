#include "Staging/StagingContext.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Staging/Queries/FindDesiredWeights.h"

namespace Lavenderloft::Staging {

std::shared_ptr<const Fleet::FleetSnapshot> StagingContext::snapshot() const
{
    return Fleet::Queries::currentSnapshot(fleet);
}

std::optional<DesiredWeights> StagingContext::findDesiredWeights() const
{
    return Queries::findDesiredWeights(*snapshot(), settings);
}

bool StagingContext::isStillDesired(const DesiredWeights& desired) const
{
    auto now = findDesiredWeights();
    return now && now->model == desired.model && now->declared.version == desired.declared.version;
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
