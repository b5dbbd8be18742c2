#include "Staging/Queries/DistributeGrants.h"

namespace Lavenderloft::Staging::Queries {

namespace {

    // Weight of a router in the engine's data centre, relative to a router in another one.
    constexpr double sameDataCentreWeight = 3;
    // Used for routers that have not reported a demand, or report less.
    constexpr double minimumDemandPerSecond = 1;

    double weightOf(const Peering::PeerRouter& router, const std::string& dataCentre)
    {
        auto demand = std::max(router.demand, minimumDemandPerSecond);
        return router.dataCentre == dataCentre ? demand * sameDataCentreWeight : demand;
    }

} // namespace

std::map<std::string, unsigned> distributeGrants(unsigned freeSlots, const std::vector<Peering::PeerRouter>& routers, const std::string& dataCentre, Base::RandomSource& random)
{
    std::map<std::string, unsigned> grants;
    double total = 0;
    for (auto& router : routers)
        total += weightOf(router, dataCentre);
    for (unsigned slot = 0; slot < freeSlots && !routers.empty(); ++slot) {
        auto point = random.nextFraction() * total;
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
