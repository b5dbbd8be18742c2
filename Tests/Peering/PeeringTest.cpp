#include "Base/ManualClock.h"
#include "Peering/Commands/RecordPeer.h"
#include "Peering/PeeringCodec.h"
#include "Peering/Queries/ListPeers.h"

#include <criterion/criterion.h>

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
    message.routers = { { "10.0.0.2", "dc-b", 30ms } };
    message.load = EngineLoad { "e", "10.0.0.3:80", 4, 2, 9, true, 3 };
    auto decoded = decodeMessage(encodeMessage(message));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->sender, "10.0.0.1");
    cr_assert(decoded->isRouter && decoded->leaving);
    cr_assert_eq(decoded->revision, 7);
    cr_assert_float_eq(decoded->demand, 12.5, 1e-9);
    cr_assert_eq(decoded->routers.front().age.count(), 30);
    cr_assert_eq(decoded->load->granted, 3);
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
    auto decoded = decodeItems(encodeItems({ 9, { { "k", bytes, 8, false, 1500ms }, { "d", "", 9, true, 0ms } } }));
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->revision, 9);
    cr_assert(decoded->items[0].value == bytes);
    cr_assert_eq(decoded->items[0].age.count(), 1500);
    cr_assert(decoded->items[1].deleted);
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
    cr_assert_eq(Queries::countPossibleRouters(table), 2);
    cr_assert_float_eq(Queries::liveRouters(table, clock.now()).front().demand, 5, 1e-9, "hearsay does not erase the demand");
    clock.advance(PeerTable::routerRetention + 1s);
    Commands::forgetSilentPeers(table, clock.now());
    cr_assert_eq(Queries::countPossibleRouters(table), 0);
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
