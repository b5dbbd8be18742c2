#include "Peering/Queries/ListPeers.h"

#include "Base/RendezvousHash.h"

#include <algorithm>

namespace Lavenderloft::Peering::Queries {

namespace {

    using namespace std::chrono_literals;

    // Three heartbeats of a router may be lost before another one takes over following the store.
    constexpr std::chrono::milliseconds syncReportLifetime = 1300ms;
    // A router without a response from the store for longer may be waiting on a dead connection.
    constexpr std::chrono::milliseconds storeTimeout = 3000ms;

    bool isFollowingStore(const StoreSyncReport& report, Base::TimePoint now)
    {
        return report.reportedAt && now - *report.reportedAt <= syncReportLifetime && now - report.syncedAt <= storeTimeout;
    }

} // namespace

std::vector<PeerRouter> liveRouters(const PeerTable& table, Base::TimePoint now)
{
    std::vector<PeerRouter> routers;
    table.routers().forEach([&](const std::string&, const PeerRouter& router) {
        if (now - router.lastSeenAt <= PeerTable::routerTimeout)
            routers.push_back(router);
    });
    std::sort(routers.begin(), routers.end(), [](auto& left, auto& right) { return left.address < right.address; });
    return routers;
}

std::vector<PeerRouter> nextInRotation(const std::vector<PeerRouter>& routers, size_t count, size_t& position)
{
    if (routers.size() <= count)
        return routers;
    std::vector<PeerRouter> selected;
    for (size_t i = 0; i < count; ++i)
        selected.push_back(routers[position++ % routers.size()]);
    position %= routers.size();
    return selected;
}

RoutersByRegion splitByRegion(const std::vector<PeerRouter>& routers, const Fleet::NodeSettings& settings)
{
    RoutersByRegion split;
    for (auto& router : routers)
        (settings.regionOf(router.dataCentre) == settings.region ? split.own : split.others).push_back(router);
    return split;
}

bool isStoreFollowedByPeer(const PeerTable& table, const Fleet::NodeSettings& settings, Base::TimePoint now)
{
    auto routers = splitByRegion(liveRouters(table, now), settings).own;
    return std::any_of(routers.begin(), routers.end(), [&](const PeerRouter& router) {
        return router.address < settings.address && isFollowingStore(router.storeSync, now);
    });
}

size_t takeoverRank(const PeerTable& table, const Fleet::NodeSettings& settings, Base::TimePoint now)
{
    auto routers = splitByRegion(liveRouters(table, now), settings).own;
    auto isBefore = [&](const PeerRouter& router) { return router.address < settings.address; };
    return static_cast<size_t>(std::count_if(routers.begin(), routers.end(), isBefore));
}

size_t countRetainedRouters(const PeerTable& table)
{
    return table.routers().size();
}

Fleet::StorePosition newestPosition(const PeerTable& table, Base::TimePoint now)
{
    Fleet::StorePosition newest;
    for (auto& router : liveRouters(table, now))
        newest = std::max(newest, router.position);
    return newest;
}

// Nodes that learn of a change at the same time choose different routers, because one link can't deliver a large
// configuration to all of them in time.
std::optional<PeerRouter> findRouterAhead(const PeerTable& table, Fleet::StorePosition position, const Fleet::NodeSettings& settings, Base::TimePoint now)
{
    auto isNearer = [&](const PeerRouter& left, const PeerRouter& right) {
        bool isLeftLocal = left.dataCentre == settings.dataCentre;
        bool isRightLocal = right.dataCentre == settings.dataCentre;
        if (isLeftLocal != isRightLocal)
            return isLeftLocal;
        return Base::rendezvousWeight(settings.address, left.address) > Base::rendezvousWeight(settings.address, right.address);
    };
    std::optional<PeerRouter> best;
    for (auto& router : liveRouters(table, now)) {
        if (router.position <= position || now < router.backoffUntil)
            continue;
        if (!best || isNearer(router, *best))
            best = router;
    }
    return best;
}

Scheduling::DemandByUrgency currentDemand(const PeerRouter& router, Base::TimePoint now)
{
    auto demand = router.urgencyDemand;
    if (demand.isEmpty()) {
        demand.bands[Scheduling::DemandByUrgency::leastUrgentBand] = { router.demand, 0, router.demand };
        return demand;
    }
    return now - router.demandAt > PeerTable::demandLifetime ? Scheduling::DemandByUrgency() : demand;
}

std::chrono::milliseconds demandReplyInterval(const PeerTable& table, size_t replyBytes)
{
    // A node sends at most 12 KB of control messages a second; the rest is for heartbeats and replies.
    constexpr double bytesPerSecond = 8000;
    // Agents report at this interval.
    constexpr std::chrono::milliseconds minimum { 100 };
    auto seconds = std::chrono::duration<double>(static_cast<double>(table.agents().size() * replyBytes) / bytesPerSecond);
    return std::max(minimum, std::chrono::ceil<std::chrono::milliseconds>(seconds));
}

} // namespace Lavenderloft::Peering::Queries
