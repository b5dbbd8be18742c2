#include "Dispatch/DispatchFixture.h"
#include "Dispatch/Queries/DecideRetry.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using Dispatch::Queries::AttemptEnd;
using namespace std::chrono_literals;

namespace {

Fleet::Route routeOf(Fleet::RequestKind kind, unsigned maximumAttempts, bool resumable = false)
{
    Fleet::Route route;
    route.kind = kind;
    route.maximumAttempts = maximumAttempts;
    route.resumable = resumable;
    return route;
}

} // namespace

// Guards against a request that runs twice: only what certainly did not run is sent again.
Test(Repeat, anAtMostOnceRequestIsRepeatedOnlyIfItDidNotRun)
{
    auto route = routeOf(Fleet::RequestKind::AtMostOnce, 3);
    cr_assert(Queries::mayRetry(route, { 0, 1 }, AttemptEnd::NotSent));
    cr_assert(Queries::mayRetry(route, { 0, 1 }, AttemptEnd::NotExecuted));
    for (auto end : { AttemptEnd::Broken, AttemptEnd::TimedOut, AttemptEnd::ErrorAnswer })
        cr_assert_not(Queries::mayRetry(route, { 1, 1 }, end));
}

// Guards against a stream that is begun again where it can't be resumed.
Test(Repeat, aStreamIsRepeatedOnlyWhereItIsResumable)
{
    cr_assert_not(Queries::mayRetry(routeOf(Fleet::RequestKind::Stream, 2), { 1, 1 }, AttemptEnd::Broken));
    cr_assert(Queries::mayRetry(routeOf(Fleet::RequestKind::Stream, 2, true), { 1, 1 }, AttemptEnd::Broken));
}

// Guards against more runs than the route allows, and against attempts without end.
Test(Repeat, keepsToTheBoundOfTheRoute)
{
    auto route = routeOf(Fleet::RequestKind::Idempotent, 2);
    cr_assert(Queries::mayRetry(route, { 1, 1 }, AttemptEnd::ErrorAnswer));
    cr_assert_not(Queries::mayRetry(route, { 2, 2 }, AttemptEnd::ErrorAnswer));
    cr_assert_not(Queries::mayRetry(route, { 0, 4 }, AttemptEnd::NotExecuted));
}

// Guards against a storm of repeats when a service fails: over any window they stay below the ratio and the slack.
Test(RetryLedger, boundsRepeatsOverASlidingWindow)
{
    RetryLedger ledger(10s);
    Base::ManualClock clock;
    RetryAllowance allowance { 0.2, 5 };
    for (int i = 0; i < 100; ++i)
        ledger.countRequest(clock.now());
    unsigned repeats = 0;
    for (int i = 0; i < 100; ++i)
        repeats += ledger.tryRepeat(allowance, clock.now());
    cr_assert_eq(repeats, 25);
    clock.advance(9s);
    cr_assert_not(ledger.tryRepeat(allowance, clock.now()));
    clock.advance(3s);
    for (int i = 0; i < 100; ++i)
        repeats += ledger.tryRepeat(allowance, clock.now());
    cr_assert_eq(repeats, 30, "after the window only the slack is left");
}

// Guards against routers that each use the whole budget of the fleet.
Test(RetryLedger, routersShareTheSlack)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 500));
    test.state->setRouterCount(10);
    unsigned repeats = 0;
    for (int i = 0; i < 50; ++i)
        repeats += isLease(Commands::acquireForRetry(*test.state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now()));
    // The slack is 100 in all.
    cr_assert_leq(repeats, 10);
    cr_assert_geq(repeats, 5);
}

// Guards against a budget that is spent on requests that reached no target.
Test(RetryLedger, arrivalsAloneCount)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 500));
    test.state->setRouterCount(100);
    for (int i = 0; i < 50; ++i)
        cr_assert(isLease(Commands::acquireForRetry(*test.state, test.request("s"), false, std::make_shared<RecordingObserver>(), test.fleet.clock.now())));
}
