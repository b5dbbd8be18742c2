#include "Scheduling/Queries/ShareFreedSlots.h"

#include "Scheduling/Queries/FindHeadroom.h"
#include "Scheduling/StarvationFloor.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace Lavenderloft::Scheduling::Queries {

namespace {

    using namespace std::chrono_literals;

    // Requests that wait should get a slot within this time: the least target latency of the urgent kinds is 400 ms, of which
    // the engine needs some.
    constexpr std::chrono::duration<double> drainTime = 300ms;

    constexpr double floorShare = 1.0 / StarvationFloor::startsPerFloorStart;

    // Starts per second that the requests of a band need.
    std::vector<double> needsOf(const std::vector<DemandByUrgency>& routers, size_t band)
    {
        std::vector<double> needs;
        for (auto& router : routers)
            needs.push_back(router.bands[band].requestsPerSecond + router.bands[band].waiting / drainTime.count());
        return needs;
    }

    double sumOf(const std::vector<double>& values)
    {
        return std::accumulate(values.begin(), values.end(), 0.0);
    }

    double startsPerSecond(const std::vector<DemandByUrgency>& routers)
    {
        double sum = 0;
        for (auto& router : routers) {
            for (auto& band : router.bands)
                sum += band.startsPerSecond;
        }
        return sum;
    }

    // Starts per second beyond the mean that keep the headroom of the band.
    double marginOf(const std::vector<DemandByUrgency>& routers, size_t band, std::chrono::duration<double> holdingTime)
    {
        double arrivals = 0;
        for (auto& router : routers)
            arrivals += router.bands[band].requestsPerSecond;
        return findHeadroom(arrivals, holdingTime) / holdingTime.count() - arrivals;
    }

} // namespace

bool isUrgentUnmet(const std::vector<DemandByUrgency>& routers)
{
    auto last = findLeastUrgentBand(routers).value_or(0);
    return std::any_of(routers.begin(), routers.end(), [&](auto& router) {
        return std::any_of(router.bands.begin(), router.bands.begin() + static_cast<std::ptrdiff_t>(last), [](auto& band) { return band.isUnmet(); });
    });
}

std::vector<double> divideMaxMin(const std::vector<double>& needs, double amount)
{
    std::vector<size_t> ascending(needs.size());
    std::iota(ascending.begin(), ascending.end(), 0);
    std::sort(ascending.begin(), ascending.end(), [&](size_t first, size_t second) { return needs[first] < needs[second]; });
    std::vector<double> parts(needs.size());
    for (size_t i = 0; i < ascending.size(); ++i) {
        auto equalPart = amount / static_cast<double>(ascending.size() - i);
        parts[ascending[i]] = std::min(needs[ascending[i]], equalPart);
        amount -= parts[ascending[i]];
    }
    return parts;
}

std::optional<size_t> findLeastUrgentBand(const std::vector<DemandByUrgency>& routers)
{
    std::optional<size_t> last;
    size_t bands = 0;
    for (size_t band = 0; band < DemandByUrgency::bandCount; ++band) {
        if (std::all_of(routers.begin(), routers.end(), [&](auto& router) { return router.bands[band].isEmpty(); }))
            continue;
        ++bands;
        last = band;
    }
    return bands > 1 ? last : std::nullopt;
}

std::vector<std::optional<ReuseLimit>> shareFreedSlots(const std::vector<DemandByUrgency>& routers, const EnginePart& engine)
{
    std::vector<std::optional<ReuseLimit>> limits(routers.size());
    auto last = findLeastUrgentBand(routers);
    auto capacity = startsPerSecond(routers);
    if (!last || capacity <= 0 || engine.fleetSlots == 0)
        return limits;
    // While requests wait, all slots are held, so that each is held for this time on average.
    auto holdingTime = std::chrono::duration<double>(engine.fleetSlots / capacity);
    auto leastUrgentNeeds = needsOf(routers, *last);
    auto floor = std::min(sumOf(leastUrgentNeeds), capacity * floorShare);
    auto remaining = capacity - floor;
    size_t band = 0;
    for (; band < *last; ++band) {
        auto need = sumOf(needsOf(routers, band));
        if (need > remaining)
            break;
        remaining = std::max(0.0, remaining - need - marginOf(routers, band, holdingTime));
    }
    auto parts = divideMaxMin(needsOf(routers, band), band == *last ? remaining + floor : remaining);
    auto floorParts = band == *last ? std::vector<double>(routers.size()) : divideMaxMin(leastUrgentNeeds, floor);
    for (size_t i = 0; i < routers.size(); ++i)
        limits[i] = ReuseLimit { static_cast<int>(band), (parts[i] + floorParts[i]) * engine.share() };
    return limits;
}

} // namespace Lavenderloft::Scheduling::Queries
