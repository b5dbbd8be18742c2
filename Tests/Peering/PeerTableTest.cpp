#include "Base/ManualClock.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/Queries/ListPeers.h"
#include "Peering/StoreTakeover.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

namespace {

Fleet::NodeSettings inDataCentre(const std::string& dataCentre, const std::string& address = "self")
{
    Fleet::NodeSettings settings;
    settings.address = address;
    settings.dataCentre = dataCentre;
    settings.regionByDataCentre = { { dataCentre, "r" } };
    settings.region = "r";
    return settings;
}

} // namespace

// Guards against dropping a router behind a network partition from the count, so that the others use its share of the
// fleet-wide limits.
Test(PeerTable, countsSilentRouters)
{
    PeerTable table;
    Base::ManualClock clock;
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 1, 5 });
    Commands::recordRouter(table, { "b", "dc-b", clock.now(), 1, 5 });
    clock.advance(PeerTable::routerTimeout + 1s);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 2, 0 });
    Commands::removeExpiredPeers(table, clock.now());
    cr_assert_eq(Queries::liveRouters(table, clock.now()).size(), 1);
    cr_assert_eq(Queries::countRetainedRouters(table), 2);
    cr_assert_float_eq(Queries::liveRouters(table, clock.now()).front().demand, 5, 1e-9, "a message without demand does not erase it");
    clock.advance(PeerTable::routerRetention + 1s);
    Commands::removeExpiredPeers(table, clock.now());
    cr_assert_eq(Queries::countRetainedRouters(table), 0);
}

// Guards against an outdated observation that replaces a newer one.
Test(PeerTable, ignoresOlderObservations)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 3, 5 });
    Commands::recordRouter(table, { "a", "dc-a", clock.now() - 10s, 0, 0 });
    cr_assert_eq(Queries::liveRouters(table, clock.now()).size(), 1);
}

// Guards against fetching from a router without newer items, or from a remote router although a local one has them.
Test(FindRouterAhead, prefersARouterOfTheDataCentre)
{
    PeerTable table;
    Base::ManualClock clock;
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 0 });
    Commands::recordRouter(table, { "b", "dc-b", clock.now(), 7, 0 });
    cr_assert_not(Queries::findRouterAhead(table, 7, inDataCentre("dc-a"), clock.now()).has_value());
    cr_assert_eq(Queries::findRouterAhead(table, 5, inDataCentre("dc-a"), clock.now())->address, "b");
    cr_assert_eq(Queries::findRouterAhead(table, 4, inDataCentre("dc-a"), clock.now())->address, "a");
}

// Guards against all routers of a data centre fetching a large configuration from the same one, whose link then delivers
// it to none of them in time.
Test(FindRouterAhead, spreadsTheRoutersOfADataCentreOverTheSources)
{
    PeerTable table;
    Base::ManualClock clock;
    for (auto address : { "a", "b", "c", "d" })
        Commands::recordRouter(table, { address, "dc-a", clock.now(), 5, 0 });
    std::map<std::string, unsigned> fetches;
    constexpr unsigned nodes = 24;
    for (unsigned i = 0; i < nodes; ++i)
        ++fetches[Queries::findRouterAhead(table, 4, inDataCentre("dc-a", "node-" + std::to_string(i)), clock.now())->address];
    cr_assert_eq(fetches.size(), 4);
    for (auto& [address, count] : fetches)
        cr_assert_leq(count, nodes / 2, "%s serves %u nodes", address.c_str(), count);
}

// Guards against all routers of a region following the store at once because a large configuration makes the one that
// follows it late: sharing the link to the store, none of them received it in time (salinan-sijil-grown, scale-1).
Test(StoreTakeover, routersTakeOverOneAfterTheOther)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    constexpr unsigned routers = 13;
    auto addressOf = [](unsigned number) { return "router-" + std::to_string(10 + number); };
    for (unsigned i = 0; i < routers; ++i)
        Commands::recordRouter(table, { addressOf(i), "dc-a", clock.now(), 5, 0 });
    StoreTakeover takeover;
    takeover.recordSupply(false, clock.now());
    auto countDue = [&] {
        unsigned due = 0;
        for (unsigned i = 0; i < routers; ++i)
            due += takeover.isDue(Queries::takeoverRank(table, inDataCentre("dc-a", addressOf(i)), clock.now()), clock.now());
        return due;
    };
    cr_assert_eq(countDue(), 1, "the first one does not wait");
    clock.advance(700ms);
    cr_assert_eq(countDue(), 2);
    takeover.recordSupply(false, clock.now());
    cr_assert_eq(countDue(), 2, "the time counts from the first failure");
    takeover.recordSupply(true, clock.now());
    cr_assert_eq(countDue(), 0);
}

// Guards against all routers of a region that load a slow store: none of them gets items in time, so that each one takes
// over from those before it.
Test(StoreTakeover, fewRoutersOfARegionFollowASlowStore)
{
    Base::ManualClock clock;
    constexpr size_t routers = 36;
    StoreTakeover takeover;
    takeover.recordSupply(false, clock.now());
    auto countDue = [&] {
        size_t due = 0;
        for (size_t rank = 0; rank < routers; ++rank)
            due += takeover.isDue(rank, clock.now());
        return due;
    };
    clock.advance(5s);
    cr_assert_eq(countDue(), 3);
    clock.advance(3s);
    cr_assert_eq(countDue(), 6);
    // In the end all of them do, in case the store turns away the first ones.
    clock.advance(120s);
    cr_assert_eq(countDue(), routers);
}

// Guards against replying to every report of an agent, and against not replying to an agent that is behind.
Test(RecordAgent, repliesRarelyUnlessTheAgentIsBehind)
{
    PeerTable table;
    Base::ManualClock clock;
    cr_assert(Commands::recordAgent(table, "x", 5, 5, clock.now()));
    unsigned replies = 0;
    for (int i = 0; i < 9; ++i) {
        clock.advance(100ms);
        replies += Commands::recordAgent(table, "x", 5, 5, clock.now());
    }
    cr_assert_eq(replies, 0);
    cr_assert(Commands::recordAgent(table, "x", 5, 6, clock.now()));
}

// Guards against dropping a router from the count because it did not respond to one request: the others would use its
// share of the limits in addition to it.
Test(PeerTable, countsAnUnresponsiveRouterInBackoff)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 0 });
    Commands::startRouterBackoff(table, "a", clock.now());
    cr_assert_eq(Queries::countRetainedRouters(table), 1);
    cr_assert_not(Queries::findRouterAhead(table, 1, inDataCentre("dc-a"), clock.now()).has_value());
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 6, 0 });
    cr_assert_not(Queries::findRouterAhead(table, 1, inDataCentre("dc-a"), clock.now()).has_value(), "its messages arrive, but it does not respond to requests");
    clock.advance(4s);
    cr_assert_eq(Queries::findRouterAhead(table, 1, inDataCentre("dc-a"), clock.now())->address, "a");
}

// Guards against gossip that overwrites the state reported by the router itself.
Test(PeerTable, gossipUpdatesOnlyTheTime)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 3, { clock.now(), clock.now() } });
    clock.advance(1s);
    Commands::recordGossip(table, "a", "dc-a", clock.now());
    auto router = Queries::liveRouters(table, clock.now()).front();
    cr_assert(router.lastSeenAt == clock.now());
    cr_assert_eq(router.position, 5);
    cr_assert(router.storeSync.reportedAt == clock.now() - 1s);
}

// Guards against routers that are never listed in a message and stay unknown to some nodes: a fleet has more routers
// than fit into a datagram.
Test(NextInRotation, coversAllRouters)
{
    std::vector<PeerRouter> routers;
    for (int i = 0; i < 36; ++i)
        routers.push_back({ "10.0.0." + std::to_string(i), "dc-a", {}, 0, 0 });
    size_t position = 0;
    std::set<std::string> listed;
    for (int message = 0; message < 5; ++message) {
        auto part = Queries::nextInRotation(routers, 8, position);
        cr_assert_eq(part.size(), 8);
        for (auto& router : part)
            listed.insert(router.address);
    }
    cr_assert_eq(listed.size(), 36);
    cr_assert_eq(Queries::nextInRotation(routers, 40, position).size(), 36);
}

namespace {

// Node 10.0.0.5 in data centre dc-a of region r-a.
Fleet::NodeSettings nodeInRegionA()
{
    Fleet::NodeSettings settings;
    settings.address = "10.0.0.5";
    settings.dataCentre = "dc-a";
    settings.region = "r-a";
    settings.regionByDataCentre = { { "dc-a", "r-a" }, { "dc-b", "r-b" } };
    return settings;
}

} // namespace

// Guards against every router following the store, which would make its load grow with the fleet, and against a region
// in which no router follows it.
Test(StoreFollowing, isDoneByTheRouterWithTheLowestAddressOfTheRegion)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    auto synced = [&] { return StoreSyncReport { clock.now(), clock.now() }; };
    cr_assert_not(Queries::isStoreFollowedByPeer(table, nodeInRegionA(), clock.now()));
    Commands::recordRouter(table, { "10.0.0.9", "dc-a", clock.now(), 1, 0, synced() });
    Commands::recordRouter(table, { "10.0.0.2", "dc-b", clock.now(), 1, 0, synced() });
    cr_assert_not(Queries::isStoreFollowedByPeer(table, nodeInRegionA(), clock.now()), "one router has a higher address, the other one is in another region");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, synced() });
    cr_assert(Queries::isStoreFollowedByPeer(table, nodeInRegionA(), clock.now()));
}

// Guards against a region without updates while its follower is down, is rejected by the store, or waits on a dead
// connection.
Test(StoreFollowing, isTakenOverFromARouterThatLostTheStore)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    auto settings = nodeInRegionA();
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, { clock.now(), clock.now() } });
    clock.advance(1500ms);
    Commands::recordGossip(table, "10.0.0.3", "dc-a", clock.now());
    cr_assert_not(Queries::isStoreFollowedByPeer(table, settings, clock.now()), "its report has expired");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, {} });
    cr_assert_not(Queries::isStoreFollowedByPeer(table, settings, clock.now()), "it does not follow the store");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, { clock.now(), clock.now() - 4s } });
    cr_assert_not(Queries::isStoreFollowedByPeer(table, settings, clock.now()), "it has not been synchronised for too long");
}

// Guards against agents that learn of waiting requests only once a second, and against control messages that grow with the
// number of agents.
Test(DemandReplies, staysWithinABudgetForAnyNumberOfAgents)
{
    constexpr size_t replyBytes = 100;
    for (size_t agents : { 1, 58, 890, 6700 }) {
        PeerTable table;
        Base::ManualClock clock;
        clock.advance(1h);
        for (size_t i = 0; i < agents; ++i)
            Commands::recordAgent(table, std::to_string(i), 5, 5, clock.now());
        auto interval = Queries::demandReplyInterval(table, replyBytes);
        cr_assert_geq(interval.count(), 100);
        size_t replies = 0;
        constexpr auto time = 10s;
        for (auto elapsed = 0ms; elapsed < time; elapsed += 100ms) {
            clock.advance(100ms);
            for (size_t i = 0; i < agents; ++i)
                replies += Commands::takeDemandReply(table, std::to_string(i), interval, clock.now());
        }
        auto bytesPerSecond = replies * replyBytes / 10;
        cr_log_info("%zu agents: interval %ld ms, %zu bytes a second", agents, static_cast<long>(interval.count()), bytesPerSecond);
        cr_assert_leq(bytesPerSecond, 8000);
    }
}

// Guards against more messages than needed: an ordinary reply bears the demand too.
Test(DemandReplies, countOrdinaryReplies)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    cr_assert_not(Commands::takeDemandReply(table, "x", 100ms, clock.now()), "the agent has not reported");
    cr_assert(Commands::recordAgent(table, "x", 5, 5, clock.now()));
    cr_assert_not(Commands::takeDemandReply(table, "x", 100ms, clock.now()));
    clock.advance(100ms);
    cr_assert(Commands::takeDemandReply(table, "x", 100ms, clock.now()));
}

// A router of an earlier program must count as one of the least urgent requests, and a frozen one must not count as waiting.
Test(CurrentDemand, countsOldAndFrozenRouters)
{
    Base::ManualClock clock;
    clock.advance(1h);
    PeerRouter old { "a", "dc-a", clock.now(), 1, 7 };
    cr_assert_float_eq(Queries::currentDemand(old, clock.now()).bands[3].requestsPerSecond, 7, 1e-9);
    PeerRouter frozen { "b", "dc-a", clock.now(), 1, 7 };
    frozen.urgencyDemand.bands[0] = { 5, 3, 2 };
    frozen.demandAt = clock.now();
    cr_assert_eq(Queries::currentDemand(frozen, clock.now()).bands[0].waiting, 3);
    clock.advance(PeerTable::demandLifetime + 1ms);
    cr_assert_not(Queries::currentDemand(frozen, clock.now()).bands[0].isUnmet());
}

// Guards against gossip that makes the demand of a frozen router look recent.
Test(CurrentDemand, isNotRefreshedByGossip)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    PeerRouter router { "a", "dc-a", clock.now(), 1, 7 };
    router.urgencyDemand.bands[0] = { 5, 3, 2 };
    router.demandAt = clock.now();
    Commands::recordRouter(table, router);
    clock.advance(PeerTable::demandLifetime + 1ms);
    Commands::recordGossip(table, "a", "dc-a", clock.now());
    auto known = Queries::liveRouters(table, clock.now()).front();
    cr_assert_eq(Queries::currentDemand(known, clock.now()).bands[0].waiting, 0);
}
