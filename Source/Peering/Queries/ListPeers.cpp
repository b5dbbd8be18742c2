#include "Peering/Queries/ListPeers.h"

#include <algorithm>

namespace Lavenderloft::Peering::Queries {

std::vector<PeerRouter> liveRouters(const PeerTable& table, Base::TimePoint now)
{
    std::vector<PeerRouter> routers;
    table.routers().forEach([&](const std::string&, const PeerRouter& router) {
        if (now - router.heardAt <= PeerTable::routerSilence)
            routers.push_back(router);
    });
    std::sort(routers.begin(), routers.end(), [](auto& left, auto& right) { return left.address < right.address; });
    return routers;
}

size_t countPossibleRouters(const PeerTable& table)
{
    return table.routers().size();
}

std::optional<PeerRouter> routerAhead(const PeerTable& table, uint64_t revision, const std::string& dataCentre, Base::TimePoint now)
{
    std::optional<PeerRouter> best;
    for (auto& router : liveRouters(table, now)) {
        if (router.revision <= revision)
            continue;
        bool isNearer = best && router.dataCentre == dataCentre && best->dataCentre != dataCentre;
        if (!best || isNearer)
            best = router;
    }
    return best;
}

} // namespace Lavenderloft::Peering::Queries
