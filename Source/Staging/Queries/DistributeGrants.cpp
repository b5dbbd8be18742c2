#include "Staging/Queries/DistributeGrants.h"

#include "Peering/Queries/ListPeers.h"
#include "Scheduling/Queries/DistributeSlots.h"

#include <algorithm>

namespace Lavenderloft::Staging::Queries {

namespace {

    // Weight of a router in the engine's data centre, relative to a router in another one.
    constexpr double sameDataCentreWeight = 3;
    // Used for routers that have not reported a demand, or report less.
    constexpr double minimumDemandPerSecond = 1;
    // While more than one in so many slots is granted with each report, slots move fast enough.
    constexpr double slotsPerSpareSlot = 8;

    std::vector<Scheduling::Queries::SlotClaim> claimsOf(const std::vector<Peering::PeerRouter>& routers, const GrantBasis& basis)
    {
        std::vector<Scheduling::Queries::SlotClaim> claims;
        for (auto& router : routers) {
            auto preference = router.dataCentre == basis.dataCentre ? sameDataCentreWeight : 1;
            claims.push_back({ Peering::Queries::currentDemand(router, basis.now), std::max(router.demand, minimumDemandPerSecond), preference });
        }
        return claims;
    }

    std::vector<Scheduling::DemandByUrgency> demandsOf(const std::vector<Peering::PeerRouter>& routers, Base::TimePoint now)
    {
        std::vector<Scheduling::DemandByUrgency> demands;
        for (auto& router : routers)
            demands.push_back(Peering::Queries::currentDemand(router, now));
        return demands;
    }

    bool hasSpareSlots(const GrantBasis& basis)
    {
        return basis.meanGranted >= std::max(1.0, basis.engine.ownSlots / slotsPerSpareSlot);
    }

} // namespace

std::map<std::string, unsigned> distributeGrants(unsigned freeSlots, const std::vector<Peering::PeerRouter>& routers, const GrantBasis& basis, Base::RandomSource& random)
{
    // Other engines are expected to have as many slots to grant for each of theirs.
    auto share = basis.engine.share();
    auto elsewhere = share > 0 ? basis.meanGranted * (1 / share - 1) : 0;
    auto granted = Scheduling::Queries::distributeSlots(freeSlots, claimsOf(routers, basis), elsewhere, random);
    std::map<std::string, unsigned> grants;
    for (size_t i = 0; i < routers.size(); ++i) {
        if (granted[i] > 0)
            grants[routers[i].address] = granted[i];
    }
    return grants;
}

bool isUrgentUnmet(const std::vector<Peering::PeerRouter>& routers, Base::TimePoint now)
{
    return Scheduling::Queries::isUrgentUnmet(demandsOf(routers, now));
}

std::map<std::string, Scheduling::ReuseLimit> findReuseLimits(const std::vector<Peering::PeerRouter>& routers, const GrantBasis& basis)
{
    std::map<std::string, Scheduling::ReuseLimit> limits;
    if (hasSpareSlots(basis))
        return limits;
    auto shared = Scheduling::Queries::shareFreedSlots(demandsOf(routers, basis.now), basis.engine);
    for (size_t i = 0; i < routers.size(); ++i) {
        if (shared[i])
            limits[routers[i].address] = *shared[i];
    }
    return limits;
}

} // namespace Lavenderloft::Staging::Queries
