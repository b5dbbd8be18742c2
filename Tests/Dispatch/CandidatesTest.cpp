#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/DecideWithdrawal.h"
#include "Dispatch/Queries/FindCandidates.h"

#include <criterion/criterion.h>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

// A draining target must not get new requests.
Test(Candidates, excludeDrainingTargets)
{
    TestDispatch test;
    auto target = targetOf("1", "s");
    target.entry.draining = true;
    test.fleet.publish("t/1", target);
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
}

// Targets in an evacuated data centre must not get new requests, even if there is no other data centre.
Test(Candidates, excludeEvacuatedDataCentres)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-b"));
    cr_assert(isLease(test.acquire("s")));
    test.fleet.publish("e/dc-b", Fleet::DataCentreEvacuated { "dc-b" });
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
    test.fleet.remove("e/dc-b");
    cr_assert(isLease(test.acquire("s")));
}

// A request must not leave the regions that its route and organisation allow.
Test(Candidates, keepToAllowedRegions)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-b"));
    auto traits = test.request("s");
    traits.allowedRegions = { "r-a" };
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::NoTarget);
    traits.allowedRegions = { "r-b" };
    cr_assert(isLease(test.acquire(traits)));
}

// Guards against requests that leave their regions: a route and an organisation without a region in common are given one
// that does not exist, and a target in an unknown data centre seemed to be there.
Test(Candidates, excludeUnknownDataCentresFromAllowedRegions)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-unknown"));
    auto traits = test.request("s");
    traits.allowedRegions = { "" };
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::NoTarget);
    traits.allowedRegions = {};
    cr_assert(isLease(test.acquire(traits)));
}

// A retry must not go to a target that has already been tried.
Test(Candidates, excludeTriedTargets)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s"));
    auto traits = test.request("s");
    traits.triedTargets = { "1" };
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::NoTarget);
}

// An engine without weights, or with a part of them only, must not get requests.
Test(Candidates, excludeEnginesWithoutCompleteWeights)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 0));
    auto part = engineOf("2", "e", 1);
    part.entry.layers->to = 8;
    test.fleet.publish("t/2", part);
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget);
}

// Requests must not start on old weights after the bound of 8 s. Routers exclude them 1 s earlier, because a request may
// be queued at the engine.
Test(Candidates, excludeOldWeightsBeforeTheBound)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.fleet.publish("w", Fleet::WeightsDeclared { "m", 2 });
    test.fleet.clock.advance(6s);
    auto early = test.acquire("e");
    cr_assert(isLease(early));
    cr_assert_not(std::get<Lease>(early).expectedWeights.has_value());
    test.fleet.clock.advance(1s);
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget);
    test.fleet.publish("t/1", engineOf("1", "e", 2));
    auto late = test.acquire("e");
    cr_assert(isLease(late));
    cr_assert(std::get<Lease>(late).expectedWeights == 2);
}

// A router that restarts after a declaration must not use old weights for another full period.
Test(Candidates, excludeOldWeightsImmediatelyAfterARestart)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.fleet.publish("w", Fleet::WeightsDeclared { "m", 2 }, 1h);
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget);
}

// The agent's report overrides the entry of the target, which may still name weights that the engine has lost.
Test(Candidates, preferTheReportOverTheEntry)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.report("e", "1", { 0, 0, 0, false, 0 });
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget);
    test.report("e", "1", { 0, 0, 1, true, 4 });
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget, "a paused engine accepts no requests");
    test.report("e", "1", { 0, 0, 1, false, 4 });
    cr_assert(isLease(test.acquire("e")));
}

// A target that has just started must not get its full load. Four routers share its rate of 8 requests per second.
Test(Candidates, shareTheRateOfAColdTarget)
{
    TestDispatch test;
    auto service = plainService("s");
    service.coldRequestsPerSecond = 8;
    test.fleet.publish("c", configurationOf(1, { service }));
    auto target = targetOf("1", "s", "dc-a", 100);
    target.entry.coldRemaining = 3000ms;
    test.fleet.publish("t/1", target);
    test.state->setRouterCount(4);
    unsigned granted = 0;
    for (int step = 0; step < 20; ++step) {
        auto observer = std::make_shared<RecordingObserver>();
        auto traits = test.request("s");
        if (isLease(test.acquire(traits, observer)))
            ++granted;
        Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now());
        test.fleet.clock.advance(50ms);
    }
    // Two per second, and the initial token.
    cr_assert_leq(granted, 3, "%u requests in a second", granted);
    cr_assert_geq(granted, 2);
    test.fleet.clock.advance(3s);
    cr_assert(isLease(test.acquire("s")));
    cr_assert(isLease(test.acquire("s")));
}

// Guards against twice the rate of a target in the first second in which it is cold again: what had not been used since the
// first time came on top.
Test(Candidates, aTargetThatIsColdAgainGetsNoMoreThanTheFirstTime)
{
    TestDispatch test;
    auto service = plainService("s");
    service.coldRequestsPerSecond = 28;
    test.fleet.publish("c", configurationOf(1, { service }));
    auto target = targetOf("1", "s", "dc-a", 1000);
    target.entry.coldRemaining = 3000ms;
    test.state->setRouterCount(1);
    for (unsigned time : { 1, 2 }) {
        test.fleet.publish("t/1", target);
        unsigned granted = 0;
        for (int step = 0; step < 100; ++step) {
            auto observer = std::make_shared<RecordingObserver>();
            auto traits = test.request("s");
            auto decision = test.acquire(traits, observer);
            if (isLease(decision)) {
                ++granted;
                Commands::recordUnanswered(*test.state, "s", "1", std::get<Lease>(decision).assignedAt);
                test.release("s", "1", Commands::AttemptResult::Served);
            }
            Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now());
            test.fleet.clock.advance(10ms);
        }
        // The rate with the overage that is allowed in any second.
        cr_expect_leq(granted, 28 * 3 / 2, "time %u: %u requests in a second", time, granted);
        cr_expect_geq(granted, 25u, "time %u: %u requests, less than the rate", time, granted);
        test.fleet.clock.advance(10s);
    }
}

// A failing target must get no requests during its backoff, and must be tried again afterwards.
Test(Candidates, backOffFromFailingTargets)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s"));
    for (int i = 0; i < 2; ++i) {
        cr_assert(isLease(test.acquire("s")));
        test.release("s", "1", Commands::AttemptResult::Failed);
    }
    cr_assert(refusalOf(test.acquire("s")) == RefusalReason::NoTarget);
    test.fleet.clock.advance(300ms);
    cr_assert(isLease(test.acquire("s")));
}

// A router that has just started does not know the other routers. It must not use the whole rate of a cold target or the
// whole retry slack: after many simultaneous restarts the sum would exceed the fleet-wide bound.
Test(Candidates, aNewRouterHasNoShareOfFleetWideLimits)
{
    TestDispatch test;
    auto service = plainService("s");
    service.coldRequestsPerSecond = 8;
    test.fleet.publish("c", configurationOf(1, { service }));
    auto target = targetOf("1", "s", "dc-a", 100);
    target.entry.coldRemaining = 3000ms;
    test.fleet.publish("t/1", target);
    test.state->setRouterCount(std::nullopt);
    auto observer = std::make_shared<RecordingObserver>();
    auto traits = test.request("s");
    cr_assert_not(isLease(test.acquire(traits, observer)));
    Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now());
    auto retry = Commands::acquireForRetry(*test.state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now());
    cr_assert(refusalOf(retry) == RefusalReason::RetryBudget);
    test.state->setRouterCount(4);
    cr_assert(isLease(test.acquire("s")));
}

namespace {

// An engine with 16 slots that has just started and sustains 28 requests per second.
struct ColdEngine : TestDispatch {
    ColdEngine()
    {
        auto service = engineService("e");
        service.coldRequestsPerSecond = 28;
        fleet.publish("c", configurationOf(1, { service }));
        auto engine = engineOf("1", "e", 1, 16);
        engine.entry.coldRemaining = 3000ms;
        fleet.publish("t/1", engine);
    }
};

} // namespace

// Many routers must not each send one request to a cold target without a report: together they exceed its rate.
Test(Candidates, manyRoutersSendNothingToAColdTargetWithoutAReport)
{
    ColdEngine test;
    test.state->setRouterCount(36);
    cr_assert_not(isLease(test.acquire("e")));
}

// A cold engine must get no more requests than its agent grants at the rate that it can sustain.
Test(Candidates, aColdEngineGetsGrantedRequestsOnly)
{
    ColdEngine test;
    test.state->setRouterCount(7);
    auto leases = [&](TargetReport report) {
        test.report("e", "1", report);
        unsigned granted = 0;
        for (int i = 0; i < 6; ++i) {
            auto observer = std::make_shared<RecordingObserver>();
            auto traits = test.request("e");
            granted += isLease(test.acquire(traits, observer));
            Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now());
        }
        return granted;
    };
    cr_assert_eq(leases({ 0, 0, 1, false, 0, true }), 0);
    cr_assert_eq(leases({ 0, 0, 1, false, 3, true }), 3);
    cr_assert_eq(leases({ 0, 0, 1, false, 6, false }), 0, "the agent does not know yet that the engine is cold");
}

// Engines abort their requests to load new weights. A resumed response must not go to an engine that does so soon,
// because it may have no attempts left after a second abort.
Test(Candidates, resumedResponsesAvoidEnginesThatAbortSoon)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    for (auto id : { "1", "2", "3" })
        test.fleet.publish("t/" + std::string(id), engineOf(id, "e", 1, 16));
    auto report = [&](const std::string& id, std::optional<Base::TimePoint> abortsAt) {
        test.report("e", id, { 0, 0, 1, false, 16, false, abortsAt });
    };
    report("1", test.fleet.clock.now() + 500ms);
    report("2", test.fleet.clock.now() + 1s);
    report("3", std::nullopt);
    auto traits = test.request("e");
    std::set<std::string> used;
    for (int i = 0; i < 8; ++i)
        used.insert(std::get<Lease>(test.acquire(traits)).target->entry.id);
    cr_assert_gt(used.size(), 1);
    traits.requiredWeights = 1;
    for (int i = 0; i < 8; ++i)
        cr_assert_eq(std::get<Lease>(test.acquire(traits)).target->entry.id, "3");
    report("3", test.fleet.clock.now() + 100ms);
    cr_assert(isLease(test.acquire(traits)));
}

// A resumed response must continue with the weights that it started with.
Test(Candidates, resumedResponsesStayOnTheirWeights)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1, 16));
    test.fleet.publish("t/2", engineOf("2", "e", 2, 16));
    auto traits = test.request("e");
    traits.requiredWeights = 1;
    for (int i = 0; i < 4; ++i) {
        auto lease = std::get<Lease>(test.acquire(traits));
        cr_assert_eq(lease.target->entry.id, "1");
        cr_assert(lease.expectedWeights == 1u, "the engine refuses the request if it has loaded other weights meanwhile");
    }
    traits.requiredWeights = 3;
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::NoTarget);
}

// Guards against a request that begins on old weights after their deadline, because it was sent in time and then waited.
Test(Candidates, aLeaseNamesTheDeadlineOfItsWeights)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    cr_assert_not(std::get<Lease>(test.acquire("e")).beginBy.has_value());
    auto declaredAt = test.fleet.clock.now();
    test.fleet.publish("w", Fleet::WeightsDeclared { "m", 2 });
    test.fleet.clock.advance(2s);
    test.fleet.publish("w", Fleet::WeightsDeclared { "m", 3 });
    cr_assert(std::get<Lease>(test.acquire("e")).beginBy == declaredAt + Fleet::FleetBounds().weights);
    test.fleet.publish("t/1", engineOf("1", "e", 2));
    cr_assert(std::get<Lease>(test.acquire("e")).beginBy == declaredAt + 2s + Fleet::FleetBounds().weights);
    test.fleet.publish("t/1", engineOf("1", "e", 3));
    cr_assert_not(std::get<Lease>(test.acquire("e")).beginBy.has_value());
}

// Guards against routers that use layers in doubt because their agent was stopped, ended or cut off.
Test(Candidates, routersUseNoLayersThatTheAgentDidNotRelyOn)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 2));
    TargetReport report;
    report.wholeVersion = 0;
    report.granted = 4;
    test.report("e", "1", report);
    cr_assert_not(isLease(test.acquire("e")));
    test.fleet.clock.advance(1100ms);
    cr_assert_not(isLease(test.acquire("e")), "the engine has neither restarted nor loaded again");
    test.fleet.clock.advance(TargetRuntime::unusableLifetime);
    cr_assert(isLease(test.acquire("e")), "its agent does not come back");
}

// Guards against routers that use layers which an engine loaded while its agent stood still: the entry names them at once,
// and the agent, which had announced the load, has not verified them.
Test(Candidates, routersUseNoLayersThatWereLoadedAfterTheLastReport)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 2));
    TargetReport report;
    report.wholeVersion = 1;
    report.paused = true;
    test.report("e", "1", report);
    test.fleet.clock.advance(1100ms);
    cr_assert_not(isLease(test.acquire("e")));
}

// Guards against requests that begin on expired weights, because they wait on the narrow link to their engine longer than
// they can be withdrawn.
Test(Candidates, excludeUnresponsiveEnginesWhoseWeightsExpire)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.fleet.publish("w", Fleet::WeightsDeclared { "m", 2 });
    test.fleet.clock.advance(4300ms);
    auto unanswered = test.acquire("e");
    cr_assert(isLease(unanswered));
    test.fleet.clock.advance(1200ms);
    cr_assert(refusalOf(test.acquire("e")) == RefusalReason::NoTarget, "2.5 s are left; a request may take 2.4 s, and 0.3 s to withdraw");
    auto assignedAt = std::get<Lease>(unanswered).assignedAt;
    Commands::recordFirstPart(*test.state, "e", "1", assignedAt, assignedAt, test.fleet.clock.now());
    cr_assert(isLease(test.acquire("e")), "the engine has responded after 1.2 s");
}

// Guards against requests that reach a slow target after their callers have left.
Test(Candidates, excludeTargetsThatMayBeginTooLate)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s"));
    cr_assert(isLease(test.acquire("s")));
    test.fleet.clock.advance(2s);
    auto traits = test.request("s");
    cr_assert(isLease(test.acquire(traits)));
    traits.deadline = test.fleet.clock.now() + 1900ms;
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::NoTarget, "a request has been unanswered for 2 s");
    auto assignedAt = test.fleet.clock.now();
    Commands::recordFirstPart(*test.state, "s", "1", assignedAt, assignedAt, test.fleet.clock.now());
    cr_assert(isLease(test.acquire(traits)), "a later request has been answered");
}

// Guards against requests that begin on expired weights: their withdrawal takes as long as they have been under way. A target
// gets the usual time to respond, as long as there is time at all to withdraw the request.
Test(Candidates, requestsAreWithdrawnInTime)
{
    Base::TimePoint sentAt { 100s };
    Lease lease;
    cr_assert_not(Queries::withdrawalTimeOf(lease, sentAt, 1s).has_value());
    lease.beginBy = sentAt + 8s;
    cr_assert(Queries::withdrawalTimeOf(lease, sentAt, 1s) == sentAt + 4s);
    lease.beginBy = sentAt + 1500ms;
    cr_assert(Queries::withdrawalTimeOf(lease, sentAt, 1s) == sentAt + 1s);
    lease.beginBy = sentAt + 1100ms;
    cr_assert(Queries::withdrawalTimeOf(lease, sentAt, 1s) == sentAt + 800ms);
}
