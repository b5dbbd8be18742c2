#include "Dispatch/DispatchFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// A plain target with one slot, and therefore a limit of two requests, both in flight.
struct FullService : TestDispatch {
    FullService()
    {
        fleet.publish("t/1", targetOf("1", "s", "dc-a", 1));
        cr_assert(isLease(acquire("s")));
        cr_assert(isLease(acquire("s")));
    }

    RequestTraits interruptedRequest(const std::string& service = "s")
    {
        auto traits = request(service);
        traits.isInterrupted = true;
        return traits;
    }

    Decision retry(const RequestTraits& traits, std::shared_ptr<RecordingObserver> observer = std::make_shared<RecordingObserver>())
    {
        return Commands::acquireForRetry(*state, traits, true, observer, fleet.clock.now());
    }
};

} // namespace

// Guards against a response that breaks off with most of its deadline left, because all other targets are full.
Test(InterruptedRequest, waitsForASlotUntilItsDeadline)
{
    FullService test;
    // A long queue, in which a new request would not be worth waiting.
    while (std::holds_alternative<Queued>(test.acquire("s")))
        test.release("s", "none");
    auto traits = test.interruptedRequest();
    auto decision = test.retry(traits);
    auto* queued = std::get_if<Queued>(&decision);
    cr_assert(queued);
    cr_assert(queued->until == traits.deadline);
}

// Guards against an interrupted response that waits behind requests that have not begun.
Test(InterruptedRequest, isServedBeforeRequestsOfItsPriority)
{
    FullService test;
    auto fresh = std::make_shared<RecordingObserver>();
    auto urgent = std::make_shared<RecordingObserver>();
    auto interrupted = std::make_shared<RecordingObserver>();
    test.acquire(test.request("s", 1), fresh);
    auto traits = test.interruptedRequest();
    traits.priority = 1;
    test.retry(traits, interrupted);
    test.acquire(test.request("s", 0), urgent);
    test.release("s", "1");
    cr_assert(urgent->outcome && !interrupted->outcome);
    test.release("s", "1");
    cr_assert(interrupted->outcome && !fresh->outcome);
}

// Guards against a response that breaks off because its only other target is in a backoff.
Test(InterruptedRequest, waitsForATargetThatReturns)
{
    FullService test;
    test.release("s", "1", Commands::AttemptResult::Failed);
    test.release("s", "1", Commands::AttemptResult::Failed);
    auto observer = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.retry(test.interruptedRequest(), observer)));
    test.fleet.clock.advance(300ms);
    Commands::serveWaiting(*test.state, test.fleet.clock.now());
    cr_assert(observer->outcome.has_value());
}

// Guards against a wait that cannot end well: no target will hold the weights of the response again.
Test(InterruptedRequest, isRefusedIfAllTargetsHoldLaterWeights)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 2));
    auto traits = test.request("e");
    traits.isInterrupted = true;
    traits.requiredWeights = 1;
    auto decision = Commands::acquireForRetry(*test.state, traits, true, std::make_shared<RecordingObserver>(), test.fleet.clock.now());
    cr_assert(refusalOf(decision) == RefusalReason::NoTarget);
}

// Guards against a retry budget that is used up by retries that no target received.
Test(InterruptedRequest, aRetryWithoutATargetIsNotCharged)
{
    FullService test;
    auto bounds = test.state->bounds();
    bounds.retryRatio = 0;
    bounds.retrySlack = 1.25;
    test.state->setBounds(bounds);
    auto traits = test.request("s");
    for (unsigned i = 0; i < 3; ++i) {
        auto observer = std::make_shared<RecordingObserver>();
        auto decision = test.retry(traits, observer);
        cr_assert(refusalOf(decision) != RefusalReason::RetryBudget, "retry %u", i);
        if (std::holds_alternative<Queued>(decision))
            cr_assert(Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now()).has_value());
    }
    test.release("s", "1");
    cr_assert(isLease(test.retry(traits)));
    cr_assert(refusalOf(test.retry(traits)) == RefusalReason::RetryBudget);
}

// Guards against new requests that are queued or refused while slots are free, because an interrupted request waits for an
// engine with other weights.
Test(InterruptedRequest, doesNotHoldUpOthers)
{
    TestDispatch test;
    test.fleet.publish("c", configurationOf(1, { engineService("e") }));
    test.fleet.publish("t/1", engineOf("1", "e", 1));
    test.fleet.publish("t/2", engineOf("2", "e", 2));
    auto traits = test.request("e");
    traits.isInterrupted = true;
    traits.requiredWeights = 1;
    test.report("e", "1", TargetReport { .wholeVersion = 1, .paused = true });
    auto decision = Commands::acquireForRetry(*test.state, traits, true, std::make_shared<RecordingObserver>(), test.fleet.clock.now());
    cr_assert(std::holds_alternative<Queued>(decision));
    cr_assert(isLease(test.acquire("e")));
}
