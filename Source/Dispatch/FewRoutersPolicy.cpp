#include "Dispatch/FewRoutersPolicy.h"

#include "Base/RendezvousHash.h"

#include <algorithm>
#include <cmath>

namespace Lavenderloft::Dispatch {

namespace {

    // Requests per second. A router holds at least this part, so that the bursts of all of them stay small beside the limit.
    constexpr double minimumShare = 2;
    // A target that wants no requests, or hardly any, is asked once a minute whether that still holds.
    constexpr double minimumLimit = 1.0 / 60;

    // The routers in the target's data centre, else those in its region, else all.
    std::vector<std::string> nearestRouters(const Fleet::TargetEntry& target, const std::vector<RouterPlace>& routers, const std::string& targetRegion)
    {
        std::vector<std::string> inDataCentre;
        std::vector<std::string> inRegion;
        std::vector<std::string> all;
        for (auto& router : routers) {
            all.push_back(router.address);
            if (!targetRegion.empty() && router.region == targetRegion)
                inRegion.push_back(router.address);
            if (router.dataCentre == target.dataCentre)
                inDataCentre.push_back(router.address);
        }
        if (!inDataCentre.empty())
            return inDataCentre;
        return inRegion.empty() ? all : inRegion;
    }

} // namespace

double FewRoutersPolicy::share(const Fleet::TargetEntry& target, double requestsPerSecond, const std::string& router, const std::vector<RouterPlace>& routers, const std::string& targetRegion) const
{
    auto ranked = Base::rankMembers(target.id, nearestRouters(target, routers, targetRegion));
    if (ranked.empty())
        return 0;
    auto limit = std::max(requestsPerSecond, minimumLimit);
    auto wanted = std::floor(std::min(limit / minimumShare, static_cast<double>(ranked.size())));
    auto holders = std::max<size_t>(1, static_cast<size_t>(wanted));
    auto end = ranked.begin() + static_cast<std::ptrdiff_t>(holders);
    return std::find(ranked.begin(), end, router) == end ? 0 : limit / static_cast<double>(holders);
}

} // namespace Lavenderloft::Dispatch
