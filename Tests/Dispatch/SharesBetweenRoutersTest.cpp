#include "Dispatch/SharedEnginesReplay.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;

namespace {

// Router 0 has always twenty less urgent requests, and its runs hold all slots; router 1 gets six urgent ones a second.
Replay replayOfTwoRouters(Rule rule)
{
    Replay replay(rule, 2, 1, 1000ms);
    replay.setBacklog(0, 20);
    replay.run(3000ms);
    replay.resetCounts();
    replay.setUrgentRate(1, 6);
    replay.run(10000ms);
    return replay;
}

} // namespace

// A router with twenty digests keeps the slots of an engine that it releases while another router refuses urgent requests:
// the slots must move.
Test(SharesBetweenRouters, slotsMoveToUrgentRequests)
{
    auto former = replayOfTwoRouters(Rule::ByDemandAlone);
    auto replay = replayOfTwoRouters(Rule::ByUrgency);
    cr_log_info("urgent served: by demand alone %.2f, by urgency %.2f; less urgent %u and %u; idle %.3f and %.3f", servedShare(former.urgent(1)), servedShare(replay.urgent(1)), former.lessUrgentServed(0), replay.lessUrgentServed(0), former.idleShare(), replay.idleShare());
    cr_expect_lt(servedShare(former.urgent(1)), 0.5, "without urgencies slots do not move");
    cr_expect_geq(servedShare(replay.urgent(1)), 0.9);
    cr_expect_gt(replay.lessUrgentServed(0), 0);
    cr_expect_leq(replay.mostRunning(), slots, "no two routers use the same slot");
}

// A burst of the least urgent requests at all routers takes every slot. Urgent requests that arrive meanwhile, at routers that
// hold few slots, must get those that become free.
Test(SharesBetweenRouters, urgentRequestsGetThroughABurst)
{
    auto served = replayBurst(Rule::ByUrgency, 1000ms);
    cr_expect_geq(served, 0.9);
    cr_expect_gt(served, replayBurst(Rule::ByDemandAlone, 1000ms));
}

// Slots that nobody else needs must not be withheld, neither before urgent requests come nor after they have ended.
Test(SharesBetweenRouters, lendsWhatUrgentRequestsDoNotUse)
{
    Replay replay(Rule::ByUrgency, 2, 1, 1000ms);
    replay.setBacklog(0, 20);
    replay.run(3000ms);
    replay.resetCounts();
    replay.run(3000ms);
    cr_expect_float_eq(replay.idleShare(), 0, 1e-9);
    replay.setUrgentRate(1, 6);
    replay.run(3000ms);
    replay.setUrgentRate(1, 0);
    replay.run(4000ms);
    replay.resetCounts();
    replay.run(3000ms);
    cr_expect_float_eq(replay.idleShare(), 0, 1e-9);
}

// Urgent requests beyond the capacity must leave the least urgent ones their floor.
Test(SharesBetweenRouters, leastUrgentRequestsKeepAFloor)
{
    Replay replay(Rule::ByUrgency, 2, 1, 1000ms);
    replay.setBacklog(0, 20);
    replay.setUrgentRate(1, 40);
    replay.run(3000ms);
    replay.resetCounts();
    replay.run(20000ms);
    auto total = replay.lessUrgentServed(0) + replay.urgent(1).served;
    cr_log_info("floor: %u of %u", replay.lessUrgentServed(0), total);
    cr_expect_geq(replay.lessUrgentServed(0), total / 20);
    cr_expect_leq(replay.lessUrgentServed(0), total / 4);
}

// A router that freezes with urgent requests waiting must not hold back the others for longer than its report counts.
Test(SharesBetweenRouters, aFrozenRouterHoldsNothingBack)
{
    Replay replay(Rule::ByUrgency, 3, 1, 1000ms);
    replay.setBacklog(0, 20);
    replay.setUrgentRate(1, 6);
    replay.run(4000ms);
    replay.setUrgentRate(1, 0);
    replay.cutOff(1, true);
    replay.run(Peering::PeerTable::demandLifetime + Staging::GrantableSlots::urgentNeedLifetime + 1000ms);
    replay.resetCounts();
    replay.run(3000ms);
    cr_log_info("frozen router: idle %.3f", replay.idleShare());
    // A free slot is granted to it now and then, as by the minimum weight.
    cr_expect_leq(replay.idleShare(), 0.02);
}

// A router that has just started, or has no demand yet, must get slots for its urgent requests while others hold all.
Test(SharesBetweenRouters, aRouterThatStartsGetsSlots)
{
    Replay replay(Rule::ByUrgency, 4, 2, 1000ms);
    for (size_t i = 0; i < 3; ++i)
        replay.setBacklog(i, 20);
    replay.run(5000ms);
    replay.setUrgentRate(3, 3);
    replay.run(1000ms);
    replay.resetCounts();
    replay.run(5000ms);
    cr_log_info("started router: urgent served %.2f", servedShare(replay.urgent(3)));
    cr_expect_geq(servedShare(replay.urgent(3)), 0.9);
}

// Deployments whose routes have one priority must be served as before: their routers report no demand by urgency.
Test(SharesBetweenRouters, isReportedOnlyIfPrioritiesDiffer)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.acquire("e");
    cr_assert(Queries::engineDemandByUrgency(*test.state, test.fleet.clock.now()).isEmpty());
    test.fleet.publish("c", configurationWithPriorities());
    auto demand = Queries::engineDemandByUrgency(*test.state, test.fleet.clock.now());
    cr_assert_gt(demand.bands[0].requestsPerSecond, 0);
    cr_assert_gt(demand.bands[0].startsPerSecond, 0);
}

// A router that hears nothing more from an agent must not keep the limit, and without any report must keep to its part of
// the slots.
Test(SharesBetweenRouters, aLimitEndsWithoutReports)
{
    TestDispatch test;
    test.fleet.publish("c", configurationWithPriorities());
    test.fleet.publish("t/1", engineOf("1", "e", 1, slots));
    test.state->setRouterCount(30);
    TargetReport report { slots, 0, 1, false, 1, false, std::nullopt };
    report.reuse = Scheduling::ReuseLimit { 2, 0 };
    test.report("e", "1", report);
    cr_assert(isLease(test.acquire(test.request("e", 2))), "a grant may be used for any request");
    test.release("e", "1");
    auto waiting = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.acquire(test.request("e", 2), waiting)), "the slot is for more urgent requests of other routers");
    cr_assert_eq(Queries::countReuseLimits(*test.state, test.fleet.clock.now()), 1);
    test.fleet.clock.advance(Scheduling::ReuseAllowance::limitLifetime);
    cr_assert_eq(Queries::countReuseLimits(*test.state, test.fleet.clock.now()), 0);
    test.fleet.clock.advance(TargetRuntime::reportLifetime);
    Commands::serveWaiting(*test.state, test.fleet.clock.now());
    cr_assert(waiting->outcome.has_value());
    cr_assert_not(isLease(test.acquire(test.request("e", 2))), "one slot, which is more than its part of 12 slots among 30 routers");
}
