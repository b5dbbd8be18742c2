#include "Peering/PeeringNode.h"
#include "Fleet/FleetFixture.h"
#include "Http/NodeServer.h"
#include "Http/Sleep.h"
#include "Peering/ItemExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Peering;
using namespace std::chrono_literals;
using boost::asio::ip::udp;

namespace {

constexpr auto tickInterval = 50ms;

// A router on loopback. The test plays its peers, and moves its clock.
struct TestNode {
    boost::asio::io_context context;
    Fleet::TestFleetState fleet;
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemMerger merger { fleet.state, fleet.decoder, fleet.clock };
    Base::StallMonitor stalls { fleet.clock, tickInterval };
    udp::socket peerSocket { context, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0) };
    std::unique_ptr<PeeringNode> node;
    // A reading of the node's clock that its peers have.
    ClockReading nodeClock;

    TestNode()
    {
        start({ "127.0.0.1", findFreePort() }, {});
        nodeClock = *exchangeWithAgent(agentMessage()).times.sentAt;
    }

    // A node that other nodes of the test talk to.
    TestNode(const Http::Endpoint& endpoint, const std::string& seed)
    {
        start(endpoint, { seed });
    }

    void start(const Http::Endpoint& endpoint, std::vector<std::string> seeds)
    {
        settings.address = endpoint.host;
        settings.firstPeerPort = endpoint.port;
        settings.seedAddresses = std::move(seeds);
        fleet.decoder.publications["w=2"] = Fleet::WeightsDeclared { "m", 2 };
        fleet.clock.advance(2h);
        stalls.tick();
        node = std::make_unique<PeeringNode>(context, settings, peers, merger, fleet.clock, stalls, true);
        node->start();
    }

    static NodeMessage agentMessage()
    {
        NodeMessage message;
        message.sender = "127.0.0.200";
        return message;
    }

    // Returns the reply of the node to a message of an agent.
    NodeMessage exchangeWithAgent(const NodeMessage& message)
    {
        udp::socket agent(context, udp::endpoint(boost::asio::ip::make_address(message.sender), settings.firstPeerPort));
        agent.send_to(boost::asio::buffer(encodeMessage(message)), nodeEndpoint());
        cr_assert(runUntil([&] { return agent.available() > 0; }));
        std::string buffer(maximumMessageBytes, '\0');
        buffer.resize(agent.receive(boost::asio::buffer(buffer)));
        return *decodeMessage(buffer);
    }

    udp::endpoint nodeEndpoint() const { return { boost::asio::ip::make_address(settings.address), settings.firstPeerPort }; }

    uint16_t findFreePort()
    {
        return udp::socket(context, udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)).local_endpoint().port();
    }

    // Returns false if the condition does not hold within the time that ends a hang.
    bool runUntil(const std::function<bool()>& condition)
    {
        constexpr std::chrono::seconds hangTimeout { 10 };
        auto until = std::chrono::steady_clock::now() + hangTimeout;
        while (!condition() && std::chrono::steady_clock::now() < until)
            context.run_one_for(tickInterval);
        return condition();
    }

    // The message as a peer sends it now that has had prompt messages of the node.
    NodeMessage sentNow(NodeMessage message) const
    {
        message.times.notSentBefore = PeerClocks::readingAt(fleet.clock.now(), nodeClock.incarnation);
        return message;
    }

    // Sends the message and waits until the node knows the sender.
    void deliver(const NodeMessage& message)
    {
        deliverLate(sentNow(message));
    }

    // Delivers a message that was sent earlier.
    void deliverLate(const NodeMessage& message)
    {
        peerSocket.send_to(boost::asio::buffer(encodeMessage(message)), nodeEndpoint());
        cr_assert(runUntil([&] { return peers.routers().find(message.sender).has_value(); }));
    }

    void advanceWithTicks(std::chrono::milliseconds time)
    {
        for (; time > 0ms; time -= tickInterval) {
            fleet.clock.advance(tickInterval);
            stalls.tick();
        }
    }

    Fleet::DeclaredWeights declared() const { return fleet.snapshot()->weights.at("m").back(); }
};

NodeMessage messageFrom(const std::string& sender)
{
    NodeMessage message;
    message.sender = sender;
    message.isRouter = true;
    message.storeAge = 0ms;
    return message;
}

// The response waits for the given time before the client reads it.
boost::asio::awaitable<Http::HttpResponse> respondLate(Base::ManualClock& clock, Base::Duration delay, Http::HttpResponse response)
{
    clock.advance(delay);
    co_return response;
}

boost::asio::awaitable<Http::HttpResponse> respondSlowly(boost::asio::io_context& context, std::chrono::milliseconds delay, Http::HttpResponse response)
{
    co_await Http::sleepFor(context, delay);
    co_return response;
}

} // namespace

// Guards against outdated weights that look recent because a datagram waited while this node's VM was suspended: the
// ages in it were taken for those at its arrival, as exact ones, which are never corrected.
Test(PeeringNode, trustsNoAgeInADatagramThatWaitedDuringAStall)
{
    TestNode test;
    test.fleet.apply({ "w", "2", 2, false, 1h, true });
    auto message = messageFrom("127.0.0.8");
    message.declarations = { { "m", 2, 1s } };
    test.fleet.clock.advance(5s);
    test.deliver(message);
    cr_assert(test.declared().publishedAtIsLowerBound);
    cr_assert_not(test.peers.routers().find("127.0.0.8")->storeSync.reportedAt.has_value());
    test.stalls.tick();
    // Other datagrams may still wait.
    message.sender = "127.0.0.9";
    test.deliver(message);
    cr_assert(test.declared().publishedAtIsLowerBound);
    test.advanceWithTicks(1s);
    message.sender = "127.0.0.10";
    test.deliver(message);
    cr_assert_not(test.declared().publishedAtIsLowerBound);
    cr_assert(test.declared().publishedAt == test.fleet.clock.now() - 1s);
    cr_assert(test.peers.routers().find("127.0.0.10")->storeSync.reportedAt.has_value());
}

// Guards against outdated weights that look recent because a datagram waited on a narrow link: on kalamos-loans, day
// draw-5010, a router took a declaration for 2.35 s younger than it was.
Test(PeeringNode, trustsNoDeclarationAgeInADatagramThatWaitedOnALink)
{
    TestNode test;
    test.fleet.apply({ "w", "2", 2, false, 1h, true });
    auto message = messageFrom("127.0.0.8");
    message.declarations = { { "m", 2, 1s } };
    auto late = test.sentNow(message);
    test.advanceWithTicks(2s);
    test.deliverLate(late);
    cr_expect(test.declared().publishedAtIsLowerBound);
    cr_expect_leq(test.declared().publishedAt, test.fleet.clock.now() - 3s, "too young by %lld ms", static_cast<long long>((test.declared().publishedAt - test.fleet.clock.now() + 3s) / 1ms));
    message.sender = "127.0.0.9";
    test.deliver(message);
    cr_expect_not(test.declared().publishedAtIsLowerBound);
    cr_expect(test.declared().publishedAt == test.fleet.clock.now() - 1s);
}

// Guards against a configuration that looks recent because the report of the store follower waited on a narrow link.
Test(PeeringNode, addsTheWaitOnALinkToTheAgeOfASync)
{
    TestNode test;
    auto late = test.sentNow(messageFrom("127.0.0.8"));
    test.advanceWithTicks(2s);
    test.deliverLate(late);
    cr_expect_eq(test.merger.maximumNewItemAge() / 1ms, 2000);
    auto syncedAt = test.peers.routers().find("127.0.0.8")->storeSync.syncedAt;
    cr_expect_eq((test.fleet.clock.now() - syncedAt) / 1ms, 2000);
}

// Guards against a first message of a router that counts as prompt because nothing is known of the link.
Test(PeeringNode, trustsNoAgeFromARouterThatDoesNotKnowTheNode)
{
    TestNode test;
    test.fleet.apply({ "w", "2", 2, false, 1h, true });
    auto message = messageFrom("127.0.0.8");
    message.declarations = { { "m", 2, 1s } };
    test.deliverLate(message);
    cr_expect(test.declared().publishedAtIsLowerBound);
    cr_expect_not(test.peers.routers().find("127.0.0.8")->storeSync.reportedAt.has_value());
    // The message was meant for an earlier process at the address.
    message = test.sentNow(messageFrom("127.0.0.9"));
    message.declarations = { { "m", 2, 1s } };
    message.times.notSentBefore->incarnation ^= 1;
    test.deliverLate(message);
    cr_expect(test.declared().publishedAtIsLowerBound);
    cr_expect_not(test.peers.routers().find("127.0.0.9")->storeSync.reportedAt.has_value());
}

// Guards against a router that starts and follows the store itself, because the reports of the follower can't be used until
// the next heartbeat in rotation tells the follower its clock.
Test(PeeringNode, introducesItselfToARouterThatDoesNotKnowIt)
{
    TestNode test;
    auto message = messageFrom("127.0.0.8");
    message.times.sentAt = ClockReading { 7, 500s };
    udp::socket router(test.context, udp::endpoint(boost::asio::ip::make_address(message.sender), test.settings.firstPeerPort));
    test.deliverLate(message);
    cr_assert_gt(router.available(), 0);
    std::string buffer(maximumMessageBytes, '\0');
    buffer.resize(router.receive(boost::asio::buffer(buffer)));
    auto answer = decodeMessage(buffer);
    cr_expect_eq(answer->times.notSentBefore->incarnation, 7);
    // A router that knows this process gets no answer.
    message.sender = "127.0.0.9";
    udp::socket informed(test.context, udp::endpoint(boost::asio::ip::make_address(message.sender), test.settings.firstPeerPort));
    test.deliver(message);
    cr_expect_eq(informed.available(), 0);
}

// Guards against nodes that never learn exact times from each other, although their messages are prompt.
Test(PeeringNode, learnsExactTimesFromARouterWithAnotherClock)
{
    uint16_t port = TestNode().settings.firstPeerPort;
    TestNode first({ "127.0.0.2", port }, "127.0.0.3");
    TestNode second({ "127.0.0.3", port }, "127.0.0.2");
    second.advanceWithTicks(10min);
    first.fleet.apply({ "w", "2", 2, false, 1s, false });
    second.fleet.apply({ "w", "2", 2, false, 1h, true });
    first.node->setStoreSyncTimeProvider([&] { return first.fleet.clock.now() - 500ms; });
    auto isExact = [&] {
        first.context.run_for(10ms);
        return !second.declared().publishedAtIsLowerBound;
    };
    cr_assert(second.runUntil(isExact));
    cr_expect(second.declared().publishedAt == second.fleet.clock.now() - 1s);
    auto report = second.peers.routers().find("127.0.0.2")->storeSync;
    cr_expect(report.reportedAt.has_value());
    cr_expect_eq((second.fleet.clock.now() - report.syncedAt) / 1ms, 500);
}

// Guards against peers that take the ages of this node's messages for uncertain, or for too recent, because the node told
// them a wrong time of their clocks.
Test(PeeringNode, tellsItsPeersTheTimeOnTheirClocks)
{
    TestNode test;
    test.advanceWithTicks(2s);
    auto message = TestNode::agentMessage();
    message.times.sentAt = ClockReading { 7, 500s };
    auto reply = test.exchangeWithAgent(message);
    cr_assert(reply.times.notSentBefore.has_value());
    cr_expect_eq(reply.times.notSentBefore->incarnation, 7);
    cr_expect(reply.times.notSentBefore->time == 500s);
    cr_expect_eq(reply.times.sentAt->incarnation, test.nodeClock.incarnation);
    // This message waits for 3 s: the time on the agent's clock is known from the first.
    test.advanceWithTicks(5s);
    message.times.sentAt->time += 2s;
    reply = test.exchangeWithAgent(message);
    cr_expect(reply.times.notSentBefore->time == 505s);
}

// Guards against routers that all follow the store themselves whenever their event loops are late: a message that had
// waited cancelled the earlier report of the store follower, which was still valid.
Test(PeeringNode, keepsTheReportOfTheStoreFollowerDuringAShortStall)
{
    TestNode test;
    test.advanceWithTicks(1s);
    auto message = messageFrom("127.0.0.8");
    test.deliver(message);
    auto reportedAt = test.peers.routers().find("127.0.0.8")->storeSync.reportedAt;
    cr_assert(reportedAt.has_value());
    test.fleet.clock.advance(400ms);
    message.demand = 7;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return test.peers.routers().find("127.0.0.8")->demand == 7; }));
    cr_assert(test.peers.routers().find("127.0.0.8")->storeSync.reportedAt == reportedAt);
    // A router that has lost the store says so.
    message.storeAge.reset();
    message.demand = 8;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return test.peers.routers().find("127.0.0.8")->demand == 8; }));
    cr_assert_not(test.peers.routers().find("127.0.0.8")->storeSync.reportedAt.has_value());
}

// Guards against outdated weights that look recent because the response of a router waited: the ages in it are those at
// the time when the router responded.
Test(PeeringNode, addsTheDurationOfAFetchToTheAges)
{
    TestNode test;
    ItemBatch batch { 2, { { "w", "2", 2, false, 1s } } };
    auto handler = [&](Http::HttpRequest) { return respondLate(test.fleet.clock, 4s, { 200, {}, encodeItems(batch) }); };
    auto server = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, handler);
    auto message = messageFrom("127.0.0.2");
    message.position = 2;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == 2; }));
    cr_assert(test.declared().publishedAt == test.fleet.clock.now() - 5s);
}

// Guards against a router that never learns the published items because their transfer on a narrow link takes longer than
// a fixed timeout: each response was dropped before it had been read, and the next fetch began anew.
Test(PeeringNode, fetchesFromASlowRouter)
{
    TestNode test;
    ItemBatch batch { 2, { { "w", "2", 2, false, 1s } } };
    auto handler = [&](Http::HttpRequest) { return respondSlowly(test.context, 1800ms, { 200, {}, encodeItems(batch) }); };
    auto server = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, handler);
    auto message = messageFrom("127.0.0.2");
    message.position = 2;
    test.deliver(message);
    auto firstTimeout = std::chrono::steady_clock::now() + 1700ms;
    cr_assert(test.runUntil([&] { return std::chrono::steady_clock::now() > firstTimeout; }));
    cr_assert_eq(Fleet::Queries::knownPosition(test.fleet.state), 0);
    // The router is asked again after its backoff.
    test.advanceWithTicks(3500ms);
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == 2; }));
}

// Guards against a configuration that arrives late after a partition: each silent router made the wait for the next one longer.
Test(PeeringNode, waitsForASecondSilentRouterNoLongerThanForTheFirst)
{
    TestNode test;
    ItemBatch batch { 2, { { "w", "2", 2, false, 1s } } };
    std::vector<std::chrono::steady_clock::time_point> requests;
    auto handler = [&](Http::HttpRequest) {
        requests.push_back(std::chrono::steady_clock::now());
        return respondSlowly(test.context, requests.size() < 3 ? 1h : 0ms, { 200, {}, encodeItems(batch) });
    };
    std::vector<std::shared_ptr<Http::NodeServer>> servers;
    for (std::string address : { "127.0.0.2", "127.0.0.3", "127.0.0.4" }) {
        servers.push_back(Http::NodeServer::start(test.context, { address, test.settings.firstPeerPort }, handler));
        auto message = messageFrom(address);
        message.position = 2;
        test.deliver(message);
    }
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == 2; }));
    cr_assert_eq(requests.size(), 3);
    auto first = requests[1] - requests[0];
    auto second = requests[2] - requests[1];
    cr_expect_lt(second / 1ms, first * 3 / 2 / 1ms);
}

// Guards against requests to a target that is gone: the response of a router waited, and the delay of a deletion in it
// was counted from its arrival.
Test(PeeringNode, takesTheDurationOfAFetchOffTheDelayOfADeletion)
{
    TestNode test;
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    ItemBatch batch { 3, { { "t/1", "", 3, true, 0ms, false, 1900ms } } };
    auto handler = [&](Http::HttpRequest) { return respondLate(test.fleet.clock, 1500ms, { 200, {}, encodeItems(batch) }); };
    auto server = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, handler);
    auto message = messageFrom("127.0.0.2");
    message.position = 3;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == 3; }));
    Fleet::Commands::expireDeletions(test.fleet.state, test.fleet.clock.now());
    cr_assert_eq(test.fleet.targetCount("s"), 1);
    test.fleet.clock.advance(400ms);
    Fleet::Commands::expireDeletions(test.fleet.state, test.fleet.clock.now());
    cr_assert_eq(test.fleet.targetCount("s"), 0);
}

// Guards against requests to a target that is gone: the node took the changes after its own revision from a router that
// had just listed the store, in which deleted keys are missing, and never learned of the deletion.
Test(PeeringNode, learnsOfADeletionFromARouterThatHasListedTheStoreAfterIt)
{
    TestNode test;
    test.advanceWithTicks(1s);
    test.fleet.publish("t/1", Fleet::targetOf("1", "s"));
    test.fleet.publish("t/2", Fleet::targetOf("2", "s"));
    Fleet::TestFleetState started;
    started.decoder = test.fleet.decoder;
    ItemMerger merger { started.state, started.decoder, started.clock };
    auto listed = Fleet::Queries::itemsAfter(test.fleet.state, 1, test.fleet.clock.now());
    merger.apply(std::move(listed), 3, std::nullopt, "store");
    merger.applyListing("", { "t/2" }, 3, std::nullopt);
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemExchange startedItems(test.context, settings, peers, merger, started.clock);
    auto startedHandler = [&](Http::HttpRequest request) { return respondLate(test.fleet.clock, 0s, startedItems.respond(request)); };
    // The node has fetched all items from another router before, so it asks only for changes.
    ItemBatch known { 2, Fleet::Queries::itemsAfter(test.fleet.state, 0, test.fleet.clock.now()) };
    auto knownHandler = [&](Http::HttpRequest) { return respondLate(test.fleet.clock, 0s, { 200, {}, encodeItems(known) }); };
    auto knownServer = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, knownHandler);
    auto startedServer = Http::NodeServer::start(test.context, { "127.0.0.3", test.settings.firstPeerPort }, startedHandler);
    auto message = messageFrom("127.0.0.2");
    message.position = 2;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return test.merger.hasRecentRelayedSync(); }));
    cr_assert_eq(test.fleet.targetCount("s"), 2);
    message = messageFrom("127.0.0.3");
    message.position = 3;
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == 3; }));
    cr_assert_eq(test.fleet.targetCount("s"), 1);
}

// Guards against requests on old weights because a report from another region waited on the congested link between the
// regions: a declaration that the node learned afterwards counted as made after that report arrived.
Test(PeeringNode, reportsFromOtherRegionsDoNotLimitTheAgesOfItems)
{
    TestNode test;
    test.settings.region = "r-a";
    test.settings.regionByDataCentre = { { "dc-a", "r-a" }, { "dc-b", "r-b" } };
    auto message = messageFrom("127.0.0.9");
    message.dataCentre = "dc-a";
    test.deliver(message);
    test.advanceWithTicks(2s);
    message.sender = "127.0.0.8";
    message.dataCentre = "dc-b";
    test.deliver(message);
    cr_assert_geq(test.merger.maximumNewItemAge() / 1ms, 2000);
    message.sender = "127.0.0.9";
    message.dataCentre = "dc-a";
    test.deliver(message);
    cr_assert(test.runUntil([&] { return test.merger.maximumNewItemAge() < 2000ms; }));
}

// Guards against routers that refuse what their configuration does not allow with 503 for ever, because they use no report
// of the router that follows the store: the report was recognised by an equal time, and two readings of a clock differ.
Test(PeeringNode, usesReportsWhileTimePasses)
{
    TestNode test;
    test.settings.region = "r-a";
    test.settings.regionByDataCentre = { { "dc-a", "r-a" } };
    test.advanceWithTicks(1s);
    test.fleet.clock.setTimePerReading(1us);
    auto message = messageFrom("127.0.0.9");
    message.dataCentre = "dc-a";
    test.deliver(message);
    cr_assert_not(Fleet::Queries::mayBeOutdated(test.fleet.state, 2s, test.fleet.clock.now()));
}

// Guards against a router that takes its configuration for the present one because a report from another region waited on
// the congested link between the regions: on salinan-sijil-grown, scale-1, requests got 404 by an outdated configuration.
Test(PeeringNode, reportsFromOtherRegionsDoNotMakeTheItemsComplete)
{
    TestNode test;
    test.settings.region = "r-a";
    test.settings.regionByDataCentre = { { "dc-a", "r-a" }, { "dc-b", "r-b" } };
    test.advanceWithTicks(1s);
    auto isOutdated = [&] { return Fleet::Queries::mayBeOutdated(test.fleet.state, 2s, test.fleet.clock.now()); };
    auto message = messageFrom("127.0.0.8");
    message.dataCentre = "dc-b";
    test.deliver(message);
    cr_assert(test.peers.routers().find("127.0.0.8")->storeSync.reportedAt.has_value());
    cr_assert(isOutdated());
    message.sender = "127.0.0.9";
    message.dataCentre = "dc-a";
    test.deliver(message);
    cr_assert_not(isOutdated());
    test.fleet.clock.advance(3s);
    cr_assert(isOutdated());
}

// Guards against routers that each have to learn the limit of a target by requests of their own.
Test(PeeringNode, tellsOtherRoutersTheLimitsOfTargets)
{
    TestNode test;
    test.advanceWithTicks(1s);
    std::vector<Dispatch::LimitReport> heard;
    test.node->setLimitHandler([&](const std::vector<Dispatch::LimitReport>& reports) { heard = reports; });
    auto message = messageFrom("127.0.0.9");
    message.limits = { { "s", "i-1", 7, 1.5, 200ms } };
    auto sent = test.sentNow(message);
    test.advanceWithTicks(100ms);
    test.deliverLate(sent);
    cr_assert_eq(heard.size(), 1);
    cr_assert_eq(heard.front().age / 1ms, 300, "with the time on the way");
    // Without a bound of that time the age is not known.
    heard.clear();
    message.sender = "127.0.0.8";
    test.deliverLate(message);
    cr_assert(heard.empty());
}

// Guards against agents that do not learn of waiting urgent requests before the next ordinary reply, a second later.
Test(PeeringNode, tellsAgentsOfUrgentRequestsAtOnce)
{
    TestNode test;
    Scheduling::DemandByUrgency demand;
    demand.bands[0] = { 3, 2, 1 };
    test.node->setUrgencyDemand(demand, true);
    for (int i = 0; i < 5; ++i) {
        test.advanceWithTicks(100ms);
        auto reply = test.exchangeWithAgent(TestNode::agentMessage());
        cr_assert(reply.isRouter);
        cr_assert_eq(reply.urgencyDemand.bands[0].waiting, 2);
        cr_assert(reply.routers.empty(), "it bears nothing but the demand");
    }
}

// Guards against a faulty router whose demand is taken as it is, or that nobody notices.
Test(PeeringNode, countsImpossibleDemands)
{
    TestNode test;
    auto message = messageFrom("127.0.0.8");
    message.demand = -5;
    message.urgencyDemand.bands[0] = { 1e300, UINT32_MAX, 0 };
    test.deliver(message);
    cr_assert_eq(test.node->clampedDemands(), 2);
    auto known = test.peers.routers().find("127.0.0.8");
    cr_assert_float_eq(known->demand, 0, 1e-9);
    cr_assert_eq(known->urgencyDemand.bands[0].waiting, 1000);
}
// Guards against two routers on different sides of the return of the store that overwrite each other: the one of the earlier
// era has the larger revision. It takes everything from the other one, which takes nothing from it.
Test(PeeringNode, takesItemsOnlyFromRoutersOfTheSameOrALaterEra)
{
    TestNode test;
    test.advanceWithTicks(1s);
    test.fleet.publishAt("c", Fleet::configurationOf(3), { 0, 60 });
    test.fleet.publishAt("t/1", Fleet::targetOf("1", "s"), { 0, 61 });
    test.fleet.decoder.publications["c=later"] = Fleet::configurationOf(4);
    test.fleet.decoder.publications["c=late"] = Fleet::configurationOf(5);
    ItemBatch later { { 1, 5 }, { { "c", "later", { 1, 4 }, false, 0ms } } };
    ItemBatch earlier { { 0, 99 }, { { "c", "late", { 0, 98 }, false, 0ms }, { "t/2", "", { 0, 99 }, false, 0ms } } };
    std::vector<std::string> laterRequests;
    unsigned earlierRequests = 0;
    auto laterServer = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, [&](Http::HttpRequest request) {
        laterRequests.push_back(request.target);
        return respondLate(test.fleet.clock, 0s, { 200, {}, encodeItems(later) });
    });
    auto earlierServer = Http::NodeServer::start(test.context, { "127.0.0.3", test.settings.firstPeerPort }, [&](Http::HttpRequest) {
        ++earlierRequests;
        return respondLate(test.fleet.clock, 0s, { 200, {}, encodeItems(earlier) });
    });
    auto message = messageFrom("127.0.0.2");
    message.position = { 1, 5 };
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == Fleet::StorePosition(1, 5); }));
    cr_assert_eq(test.fleet.snapshot()->configuration->version, 4);
    message = messageFrom("127.0.0.3");
    message.position = { 0, 99 };
    test.deliver(message);
    // The next request to the router of the later era names the era.
    later = { { 1, 6 }, { { "t/3", "", { 1, 6 }, false, 0ms } } };
    message = messageFrom("127.0.0.2");
    message.position = { 1, 6 };
    test.deliver(message);
    cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == Fleet::StorePosition(1, 6); }));
    cr_assert_eq(earlierRequests, 0);
    cr_assert_eq(laterRequests.back(), "/items?after=5&era=1&packed=1");
    cr_assert_eq(test.fleet.snapshot()->configuration->version, 4);
}

// Guards against a node that misses what the copy lacks or shows otherwise because it asks for the changes after a position
// of the earlier era.
Test(PeeringNode, listsAllItemsOfARouterOfALaterEra)
{
    TestNode test;
    Fleet::TestFleetState fleet;
    ItemMerger merger { fleet.state, fleet.decoder, fleet.clock };
    Fleet::NodeSettings settings;
    PeerTable peers;
    ItemExchange items(test.context, settings, peers, merger, fleet.clock);
    merger.apply({ { "t/2", "", { 1, 3 }, false, {} } }, { 1, 4 }, std::nullopt, "store");
    merger.applyListing("", { "t/2" }, { 1, 4 }, std::nullopt);
    auto statusOf = [&](const std::string& query) {
        Http::HttpRequest request;
        request.target = "/items?after=" + query;
        return items.respond(request).status;
    };
    cr_assert_eq(statusOf("60"), 410, "a node of the earlier era, or one that knows none");
    cr_assert_eq(statusOf("3&era=1"), 410, "deletions before the listing are not known");
    cr_assert_eq(statusOf("4&era=1&packed=1"), 200);
    cr_assert_eq(statusOf("1&era=2"), 200);
    cr_assert_eq(statusOf("0"), 200);
}

// Guards against items that count as complete because a router still follows the store of the earlier era: it does not have
// what was published since the return.
Test(PeeringNode, aSyncOfAnEarlierEraDoesNotMakeTheItemsComplete)
{
    TestNode test;
    test.advanceWithTicks(1s);
    test.fleet.publishAt("t/1", Fleet::targetOf("1", "s"), { 1, 5 });
    test.fleet.decoder.publications["c=9"] = Fleet::configurationOf(9);
    ItemBatch earlier { { 0, 99 }, { { "c", "9", { 0, 98 }, false, 0ms } } };
    bool isFetched = false;
    auto server = Http::NodeServer::start(test.context, { "127.0.0.8", test.settings.firstPeerPort }, [&](Http::HttpRequest) {
        isFetched = true;
        return respondLate(test.fleet.clock, 0s, { 200, {}, encodeItems(earlier) });
    });
    auto message = messageFrom("127.0.0.8");
    message.position = { 0, 99 };
    test.deliver(message);
    // A node that has only listed the store asks for the ages of all items.
    cr_assert(test.runUntil([&] { return isFetched; }));
    cr_assert(test.runUntil([&] { return test.fleet.snapshot()->configuration != nullptr; }));
    cr_assert_not(Fleet::Queries::completeness(test.fleet.state).has_value());
    cr_assert_not(test.merger.hasRecentRelayedSync());
    message = messageFrom("127.0.0.9");
    message.position = { 1, 5 };
    test.deliver(message);
    cr_assert(Fleet::Queries::completeness(test.fleet.state).has_value());
}

// Guards against services without targets after the return of the store: the node had asked the only router of the later era
// for changes, which that router could not tell, and then left it alone while the targets wrote their entries again.
Test(PeeringNode, goesOnFetchingFromARouterThatHadToSendAllItems)
{
    for (uint64_t era : { 0, 1 }) {
        TestNode test;
        test.advanceWithTicks(1s);
        Fleet::TestFleetState other;
        ItemMerger merger { other.state, other.decoder, other.clock };
        Fleet::NodeSettings settings;
        PeerTable peers;
        ItemExchange items(test.context, settings, peers, merger, other.clock);
        auto handler = [&](Http::HttpRequest request) { return respondLate(test.fleet.clock, 0s, items.respond(request)); };
        auto server = Http::NodeServer::start(test.context, { "127.0.0.2", test.settings.firstPeerPort }, handler);
        auto deliverPosition = [&](Fleet::StorePosition position) {
            auto message = messageFrom("127.0.0.2");
            message.position = position;
            test.deliver(message);
            cr_assert(test.runUntil([&] { return Fleet::Queries::knownPosition(test.fleet.state) == position; }));
        };
        merger.apply({ { "t/1", "", { 0, 60 }, false, {} } }, { 0, 60 }, std::nullopt, "store");
        deliverPosition({ 0, 60 });
        Fleet::StorePosition listed { era, 70 };
        merger.apply({ { "t/1", "", { era, 69 }, false, {} } }, listed, std::nullopt, "store");
        merger.applyListing("", { "t/1" }, listed, std::nullopt);
        deliverPosition(listed);
        merger.apply({ { "t/2", "", { era, 71 }, false, {} } }, { era, 71 }, std::nullopt, "store");
        deliverPosition({ era, 71 });
    }
}

// Guards against items that count as more recent than they are: a router stood still between the reading of its ages and the
// sending of the message, and its peers took the ages for those at the time of sending.
Test(PeeringNode, theTimesOfAMessageAreThoseOfItsAges)
{
    TestNode test;
    auto syncedAt = std::chrono::floor<std::chrono::milliseconds>(test.fleet.clock.now());
    test.fleet.clock.advance(1s);
    test.node->setStoreSyncTimeProvider([&] { return std::optional<Base::TimePoint>(syncedAt); });
    test.fleet.clock.setTimePerReading(500ms);
    auto message = TestNode::agentMessage();
    message.sender = "127.0.0.201";
    auto reply = test.exchangeWithAgent(message);
    cr_assert(reply.storeAge && reply.times.sentAt);
    cr_expect_leq((reply.times.sentAt->time - *reply.storeAge).count(), syncedAt.time_since_epoch() / 1ms);
}

// Guards against a request that goes on crashing targets because the routers that refused it are restarted one after the other.
Test(PeeringNode, tellsARouterThatStartsOfQuarantines)
{
    TestNode test;
    test.node->setCrashProvider([] { return std::vector<Dispatch::CrashReport> { { 7, "i-1", 1000, 20s } }; });
    auto message = messageFrom("127.0.0.9");
    message.times.sentAt = ClockReading { 5, 1ms };
    auto reply = test.exchangeWithAgent(message);
    cr_assert_eq(reply.crashes.size(), 1);
    cr_expect_eq(reply.crashes.front().fingerprint, 7);
    cr_expect(reply.crashes.front().age == 20s);
}
