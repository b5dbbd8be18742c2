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

// An at-most-once request must not run twice: it is retried only if it certainly did not run.
Test(Retry, anAtMostOnceRequestIsRetriedOnlyIfItDidNotRun)
{
    auto route = routeOf(Fleet::RequestKind::AtMostOnce, 3);
    cr_assert(Queries::mayRetry(route, { 0, 1 }, AttemptEnd::NotSent));
    cr_assert(Queries::mayRetry(route, { 0, 1 }, AttemptEnd::NotExecuted));
    for (auto end : { AttemptEnd::Broken, AttemptEnd::TimedOut, AttemptEnd::ErrorResponse })
        cr_assert_not(Queries::mayRetry(route, { 1, 1 }, end));
}

// Guards against two responses that are joined: a caller has part of a response that no other target can continue.
Test(Retry, aRequestIsNotRetriedBehindPartOfItsResponse)
{
    auto route = routeOf(Fleet::RequestKind::Idempotent, 3);
    Queries::RequestHistory history { 1, 1, true };
    for (auto end : { AttemptEnd::NotSent, AttemptEnd::NotExecuted, AttemptEnd::Broken, AttemptEnd::TimedOut, AttemptEnd::ErrorResponse })
        cr_assert_not(Queries::mayRetry(route, history, end));
}

// A stream must not be restarted if it cannot be resumed.
Test(Retry, aStreamIsRetriedOnlyWhereItIsResumable)
{
    cr_assert_not(Queries::mayRetry(routeOf(Fleet::RequestKind::Stream, 2), { 1, 1 }, AttemptEnd::Broken));
    cr_assert(Queries::mayRetry(routeOf(Fleet::RequestKind::Stream, 2, true), { 1, 1 }, AttemptEnd::Broken));
}

// A request must not run more often than the route allows, and its attempts are limited even if none of them ran.
Test(Retry, respectsTheLimitOfTheRoute)
{
    auto route = routeOf(Fleet::RequestKind::Idempotent, 2);
    cr_assert(Queries::mayRetry(route, { 1, 1 }, AttemptEnd::ErrorResponse));
    cr_assert_not(Queries::mayRetry(route, { 2, 2 }, AttemptEnd::ErrorResponse));
    cr_assert_not(Queries::mayRetry(route, { 0, 4 }, AttemptEnd::NotExecuted));
}

// A failing service must not cause a retry storm: over any window, retries stay below the ratio plus the slack.
Test(RetryWindow, boundsRetriesOverASlidingWindow)
{
    RetryWindow window(10s);
    Base::ManualClock clock;
    RetryLimits limits { 0.2, 5 };
    for (int i = 0; i < 100; ++i)
        window.countRequest(clock.now());
    unsigned retries = 0;
    for (int i = 0; i < 100; ++i)
        retries += window.tryRetry(limits, clock.now());
    cr_assert_eq(retries, 25);
    clock.advance(9s);
    cr_assert_not(window.tryRetry(limits, clock.now()));
    clock.advance(3s);
    for (int i = 0; i < 100; ++i)
        retries += window.tryRetry(limits, clock.now());
    cr_assert_eq(retries, 30, "after the window only the slack is left");
}

// Each router must use its share of the fleet-wide retry slack only.
Test(RetryWindow, routersShareTheSlack)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 500));
    test.state->setRouterCount(10);
    unsigned retries = 0;
    for (int i = 0; i < 50; ++i)
        retries += isLease(Commands::acquireForRetry(*test.state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now()));
    // The slack of all routers together is 100.
    cr_assert_leq(retries, 10);
    cr_assert_geq(retries, 5);
}

// Guards against more retries than the budget allows after routers were killed: what a process had spent of the slack was
// forgotten with it, and the next one had the same share again within the same window.
Test(RetryWindow, aRestartedRouterDoesNotSpendItsSlackOnceMore)
{
    unsigned retries = 0;
    std::chrono::milliseconds elapsed { 0 };
    auto sendRetries = [&](TestDispatch& test, unsigned count) {
        test.state->setRouterCount(1);
        for (unsigned i = 0; i < count; ++i)
            retries += isLease(Commands::acquireForRetry(*test.state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now()));
    };
    for (unsigned process = 0; process < 4; ++process) {
        TestDispatch test;
        test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 5000));
        test.state->setStartedAt(test.fleet.clock.now());
        // The first process has been there for long.
        test.fleet.clock.advance(process == 0 ? 1h : 2s);
        sendRetries(test, 200);
        elapsed += 2s;
    }
    cr_assert_lt(elapsed / 1s, 10);
    // The slack of all routers together.
    cr_expect_leq(retries, 100);
    cr_expect_geq(retries, 50, "the slack is used");
}

// Guards against a slack that is never used again after a start.
Test(RetryWindow, theSlackReturnsAWindowAfterTheStart)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 500));
    test.state->setRouterCount(1);
    test.state->setStartedAt(test.fleet.clock.now());
    auto retry = [&] { return isLease(Commands::acquireForRetry(*test.state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now())); };
    test.fleet.clock.advance(9900ms);
    cr_expect_not(retry());
    test.fleet.clock.advance(200ms);
    cr_expect(retry());
}

// Guards against a budget that is counted over 10 s whatever window the settings name.
Test(RetryWindow, hasTheLengthThatTheSettingsName)
{
    TestDispatch test;
    Fleet::NodeSettings settings;
    settings.bounds.retryWindow = 30s;
    settings.bounds.retrySlack = 1.25;
    DispatchState state(test.fleet.state, settings, std::make_unique<PowerOfTwoChoicesPolicy>(), std::make_unique<BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(1));
    auto retry = [&](const std::string& target) {
        // The ones before leave their requests unanswered.
        test.fleet.publish("t/" + target, targetOf(target, "s", "dc-a", 500));
        return isLease(Commands::acquireForRetry(state, test.request("s"), true, std::make_shared<RecordingObserver>(), test.fleet.clock.now()));
    };
    cr_expect(retry("1"));
    test.fleet.clock.advance(15s);
    cr_expect_not(retry("2"));
    test.fleet.clock.advance(20s);
    cr_expect(retry("3"));
}

// Requests that reached no target must not be charged to the retry budget.
Test(RetryWindow, chargesOnlyRequestsThatReachedATarget)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s", "dc-a", 500));
    test.state->setRouterCount(100);
    for (int i = 0; i < 50; ++i)
        cr_assert(isLease(Commands::acquireForRetry(*test.state, test.request("s"), false, std::make_shared<RecordingObserver>(), test.fleet.clock.now())));
}
