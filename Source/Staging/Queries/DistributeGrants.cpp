#include "Staging/Queries/DistributeGrants.h"

namespace Lavenderloft::Staging::Queries {

namespace {

    // Weight of a router in the engine's data centre against one elsewhere.
    constexpr double sameDataCentreWeight = 3;
    // Stands for the demand of a router that has not told it, or has none, in requests a second.
    constexpr double smallestDemand = 1;

    double weightOf(const Peering::PeerRouter& router, const std::string& dataCentre)
    {
        auto demand = std::max(router.demand, smallestDemand);
        return router.dataCentre == dataCentre ? demand * sameDataCentreWeight : demand;
    }

} // namespace

std::map<std::string, unsigned> distributeGrants(unsigned freePlaces, const std::vector<Peering::PeerRouter>& routers, const std::string& dataCentre, Base::RandomSource& random)
{
    std::map<std::string, unsigned> grants;
    double total = 0;
    for (auto& router : routers)
        total += weightOf(router, dataCentre);
    for (unsigned place = 0; place < freePlaces && !routers.empty(); ++place) {
        auto point = random.fraction() * total;
        auto chosen = &routers.back();
        for (auto& router : routers) {
            point -= weightOf(router, dataCentre);
            if (point >= 0)
                continue;
            chosen = &router;
            break;
        }
        ++grants[chosen->address];
    }
    return grants;
}

} // namespace Lavenderloft::Staging::Queries
