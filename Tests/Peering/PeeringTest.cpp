#include "Base/ManualClock.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/PeeringCodec.h"
#include "Peering/Queries/ListPeers.h"

#include <criterion/criterion.h>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;

// Guards against fields that get lost on the way between nodes.
Test(PeeringCodec, keepsAllFieldsOfAMessage)
{
    NodeMessage message;
    message.sender = "10.0.0.1";
    message.dataCentre = "dc-a";
    message.isRouter = true;
    message.leaving = true;
    message.revision = 7;
    message.demand = 12.5;
    message.storeAge = 250ms;
    message.routers = { { "10.0.0.2", "dc-b", 30ms } };
    message.load = EngineLoad { "e", "10.0.0.3:80", 4, 2, 9, true, 3, true, 120ms };
    message.crashes = { { 0xfedcba9876543210, "i-1", 40ms } };
    auto decoded = decodeMessage(encodeMessage(message));
    cr_assert_eq(decoded->crashes.front().fingerprint, 0xfedcba9876543210);
    cr_assert_eq(decoded->crashes.front().target, "i-1");
    cr_assert_eq(decoded->crashes.front().age.count(), 40);
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->sender, "10.0.0.1");
    cr_assert(decoded->isRouter && decoded->leaving);
    cr_assert_eq(decoded->revision, 7);
    cr_assert_float_eq(decoded->demand, 12.5, 1e-9);
    cr_assert(decoded->storeAge == 250ms);
    cr_assert_eq(decoded->routers.front().age.count(), 30);
    cr_assert_eq(decoded->load->granted, 3);
    cr_assert(decoded->load->cold);
    cr_assert(decoded->load->abortsIn == 120ms);
    cr_assert_eq(decoded->load->wholeVersion, 9);
    cr_assert(decoded->load->paused);
}

// Guards against a node that ends on bytes of another program.
Test(PeeringCodec, refusesForeignBytes)
{
    cr_assert_not(decodeMessage("GET / HTTP/1.1\r\n\r\n").has_value());
    cr_assert_not(decodeMessage("").has_value());
    cr_assert_not(decodeItems("\x0f\x0f\x0f").has_value());
}

// Guards against values that are changed on their way through other nodes: they may be any bytes.
Test(PeeringCodec, keepsItemsByteForByte)
{
    std::string bytes("\0\xff\n", 3);
    auto decoded = decodeItems(encodeItems({ 9, { { "k", bytes, 8, false, 1500ms }, { "d", "", 9, true, 0ms, true, 700ms } } }));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->revision, 9);
    cr_assert(decoded->items[0].value == bytes);
    cr_assert_eq(decoded->items[0].age.count(), 1500);
    cr_assert(decoded->items[1].deleted);
    cr_assert(decoded->items[1].ageIsBound);
    cr_assert_eq(decoded->items[1].deletionDelay.count(), 700);
}

// Guards against a router behind a partition that is no longer counted, so that the others use its share.
Test(PeerTable, countsSilentRoutersAmongThoseThatShareLimits)
{
    PeerTable table;
    Base::ManualClock clock;
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 1, 5 });
    Commands::recordRouter(table, { "b", "dc-b", clock.now(), 1, 5 });
    clock.advance(PeerTable::routerSilence + 1s);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 2, 0 });
    Commands::forgetSilentPeers(table, clock.now());
    cr_assert_eq(Queries::liveRouters(table, clock.now()).size(), 1);
    cr_assert_eq(Queries::countRetainedRouters(table), 2);
    cr_assert_float_eq(Queries::liveRouters(table, clock.now()).front().demand, 5, 1e-9, "hearsay does not erase the demand");
    clock.advance(PeerTable::routerRetention + 1s);
    Commands::forgetSilentPeers(table, clock.now());
    cr_assert_eq(Queries::countRetainedRouters(table), 0);
}

// Guards against hearsay that makes a silent router look alive.
Test(PeerTable, olderNewsDoesNotRefreshARouter)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 3, 5 });
    Commands::recordRouter(table, { "a", "dc-a", clock.now() - 10s, 0, 0 });
    cr_assert_eq(Queries::liveRouters(table, clock.now()).size(), 1);
}

// Guards against a node that asks a router which knows no more, or a far one before a near one.
Test(RouterAhead, namesANearRouterThatKnowsMore)
{
    PeerTable table;
    Base::ManualClock clock;
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 0 });
    Commands::recordRouter(table, { "b", "dc-b", clock.now(), 7, 0 });
    cr_assert_not(Queries::routerAhead(table, 7, "dc-a", clock.now()).has_value());
    cr_assert_eq(Queries::routerAhead(table, 5, "dc-a", clock.now())->address, "b");
    cr_assert_eq(Queries::routerAhead(table, 4, "dc-a", clock.now())->address, "a");
}

// Guards against agents that are answered at each of their reports, and against ones that lag unnoticed.
Test(RecordAgent, answersSeldomUnlessTheAgentLags)
{
    PeerTable table;
    Base::ManualClock clock;
    cr_assert(Commands::recordAgent(table, "x", 5, 5, clock.now()));
    unsigned answers = 0;
    for (int i = 0; i < 9; ++i) {
        clock.advance(100ms);
        answers += Commands::recordAgent(table, "x", 5, 5, clock.now());
    }
    cr_assert_eq(answers, 0);
    cr_assert(Commands::recordAgent(table, "x", 5, 6, clock.now()));
}

// Guards against a router that is no longer counted among those that share limits because it did not answer
// one request: the others would use its share beside it.
Test(PeerTable, countsARouterThatDidNotAnswerButAsksOthersFirst)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 0 });
    Commands::avoidRouter(table, "a", clock.now());
    cr_assert_eq(Queries::countRetainedRouters(table), 1);
    cr_assert_not(Queries::routerAhead(table, 1, "dc-a", clock.now()).has_value());
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 6, 0 });
    cr_assert_not(Queries::routerAhead(table, 1, "dc-a", clock.now()).has_value(), "its messages come, its answers do not");
    clock.advance(4s);
    cr_assert_eq(Queries::routerAhead(table, 1, "dc-a", clock.now())->address, "a");
}

// Guards against hearsay that erases what a router said of itself.
Test(PeerTable, hearsayChangesNothingButTheTime)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    Commands::recordRouter(table, { "a", "dc-a", clock.now(), 5, 3, { clock.now(), clock.now() } });
    clock.advance(1s);
    Commands::recordHearsay(table, "a", "dc-a", clock.now());
    auto router = Queries::liveRouters(table, clock.now()).front();
    cr_assert(router.heardAt == clock.now());
    cr_assert_eq(router.revision, 5);
    cr_assert(router.store.claimedAt == clock.now() - 1s);
}

// Guards against routers that no message names, so that some nodes never hear of them: a fleet has more routers
// than fit into a datagram.
Test(TakeTurn, reachesAllRoutersInTurn)
{
    std::vector<PeerRouter> routers;
    for (int i = 0; i < 36; ++i)
        routers.push_back({ "10.0.0." + std::to_string(i), "dc-a", {}, 0, 0 });
    size_t position = 0;
    std::set<std::string> named;
    for (int turn = 0; turn < 5; ++turn) {
        auto part = Queries::takeTurn(routers, 8, position);
        cr_assert_eq(part.size(), 8);
        for (auto& router : part)
            named.insert(router.address);
    }
    cr_assert_eq(named.size(), 36);
    cr_assert_eq(Queries::takeTurn(routers, 40, position).size(), 36);
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

// Guards against calls to the store by every router, whose number grows with the fleet, and against a region in
// which no router asks it.
Test(StoreFollowing, isLeftToTheRouterOfTheRegionWithTheLowestAddress)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    auto claim = [&] { return StoreClaim { clock.now(), clock.now() }; };
    cr_assert_not(Queries::isStoreFollowedByOther(table, nodeInRegionA(), clock.now()));
    Commands::recordRouter(table, { "10.0.0.9", "dc-a", clock.now(), 1, 0, claim() });
    Commands::recordRouter(table, { "10.0.0.2", "dc-b", clock.now(), 1, 0, claim() });
    cr_assert_not(Queries::isStoreFollowedByOther(table, nodeInRegionA(), clock.now()), "one has a higher address, one is in another region");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, claim() });
    cr_assert(Queries::isStoreFollowedByOther(table, nodeInRegionA(), clock.now()));
}

// Guards against a region without news while its follower is dead, refused by the store, or waits at a
// connection that went silent.
Test(StoreFollowing, isTakenOverFromARouterThatLostTheStore)
{
    PeerTable table;
    Base::ManualClock clock;
    clock.advance(1h);
    auto settings = nodeInRegionA();
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, { clock.now(), clock.now() } });
    clock.advance(1500ms);
    Commands::recordHearsay(table, "10.0.0.3", "dc-a", clock.now());
    cr_assert_not(Queries::isStoreFollowedByOther(table, settings, clock.now()), "it has not said so for a while");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, {} });
    cr_assert_not(Queries::isStoreFollowedByOther(table, settings, clock.now()), "it does not follow the store");
    Commands::recordRouter(table, { "10.0.0.3", "dc-a", clock.now(), 1, 0, { clock.now(), clock.now() - 4s } });
    cr_assert_not(Queries::isStoreFollowedByOther(table, settings, clock.now()), "the store has told it nothing for long");
}
