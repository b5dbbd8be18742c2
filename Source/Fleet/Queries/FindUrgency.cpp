#include "Fleet/Queries/FindUrgency.h"

#include <algorithm>
#include <set>

namespace Lavenderloft::Fleet::Queries {

namespace {

    // The priority of the organisation goes first. Requests of one without a priority are compared by that of their route.
    Urgency urgencyOf(const Route& route, const Organisation* organisation)
    {
        auto organisationPriority = organisation ? organisation->priority : std::nullopt;
        return { organisationPriority.value_or(route.priority), route.priority };
    }

} // namespace

std::vector<Urgency> listUrgencies(const Configuration& configuration)
{
    std::set<const Organisation*> organisations;
    for (auto& [key, organisation] : configuration.organisationsByKey)
        organisations.insert(organisation.get());
    std::set<Urgency> urgencies;
    for (auto& [host, routes] : configuration.routes) {
        for (auto& route : routes) {
            if (route->isPublic || !configuration.hasOrganisations)
                urgencies.insert(urgencyOf(*route, nullptr));
            for (auto* organisation : organisations)
                urgencies.insert(urgencyOf(*route, organisation));
        }
    }
    return { urgencies.begin(), urgencies.end() };
}

int findUrgency(const Configuration& configuration, const Route& route, const Organisation* organisation)
{
    auto& urgencies = configuration.urgencies;
    auto position = std::lower_bound(urgencies.begin(), urgencies.end(), urgencyOf(route, organisation));
    return static_cast<int>(position - urgencies.begin());
}

} // namespace Lavenderloft::Fleet::Queries
