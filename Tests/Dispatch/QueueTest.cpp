#include "Dispatch/DispatchFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// A plain target with one slot, and therefore a limit of two requests, both in flight.
struct SmallService : TestDispatch {
    SmallService()
    {
        fleet.publish("t/1", targetOf("1", "s", "dc-a", 1));
        cr_assert(isLease(acquire("s")));
        cr_assert(isLease(acquire("s")));
    }

    std::shared_ptr<RecordingObserver> wait(int priority)
    {
        auto observer = std::make_shared<RecordingObserver>();
        cr_assert(std::holds_alternative<Queued>(acquire(request("s", priority), observer)));
        return observer;
    }
};

} // namespace

// The queue is served by priority, and in order of arrival within a priority.
Test(Queue, servesByPriorityThenByArrival)
{
    SmallService test;
    auto late = test.wait(2);
    auto first = test.wait(1);
    auto second = test.wait(1);
    test.release("s", "1");
    cr_assert(first->outcome && !second->outcome && !late->outcome);
    test.release("s", "1");
    cr_assert(second->outcome && !late->outcome);
    test.release("s", "1");
    cr_assert(late->outcome.has_value());
}

// A request must not be queued until its deadline, but for a fraction of its target latency only.
Test(Queue, boundsTheWait)
{
    SmallService test;
    auto decision = test.acquire("s");
    auto* queued = std::get_if<Queued>(&decision);
    cr_assert(queued);
    cr_assert_leq((queued->until - test.fleet.clock.now()).count(), Base::Duration(200ms).count());
}

// A request whose wait was cancelled must not get a slot afterwards.
Test(Queue, cancelsAWaitOnce)
{
    SmallService test;
    auto observer = std::make_shared<RecordingObserver>();
    auto traits = test.request("s");
    test.acquire(traits, observer);
    auto refusal = Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now());
    cr_assert(refusal && refusal->reason == RefusalReason::Overloaded);
    cr_assert_gt(refusal->retryAfter.count(), 0);
    cr_assert_not(Commands::cancelWait(*test.state, traits, observer.get(), test.fleet.clock.now()));
    test.release("s", "1");
    cr_assert_not(observer->outcome.has_value());
}

// A request must not be refused as overloaded while a slot is free.
Test(Queue, assignsAFreeSlotImmediately)
{
    SmallService test;
    test.release("s", "1");
    cr_assert(isLease(test.acquire("s")));
}

// A request without enough time before its deadline must not be queued.
Test(Queue, refusesRequestsWithoutTimeLeft)
{
    TestDispatch test;
    test.fleet.publish("t/1", targetOf("1", "s"));
    auto traits = test.request("s");
    traits.deadline = test.fleet.clock.now() + 5ms;
    cr_assert(refusalOf(test.acquire(traits)) == RefusalReason::OutOfTime);
}

// An urgent request must not be refused because less urgent ones wait: it is served before them. The queue holds more of them
// than the service completes within the wait of a request.
Test(Queue, lessUrgentRequestsDoNotRefuseAnUrgentOne)
{
    SmallService test;
    // Makes the rate of completions known.
    test.release("s", "1");
    cr_assert(isLease(test.acquire("s")));
    std::vector<std::shared_ptr<RecordingObserver>> digests;
    while (true) {
        auto observer = std::make_shared<RecordingObserver>();
        if (!std::holds_alternative<Queued>(test.acquire(test.request("s", 2), observer)))
            break;
        digests.push_back(observer);
    }
    auto urgent = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.acquire(test.request("s", 0), urgent)));
    test.release("s", "1");
    cr_assert(urgent->outcome && std::holds_alternative<Lease>(*urgent->outcome));
    // They go on waiting, or have been displaced.
    for (auto& digest : digests)
        cr_assert(!digest->outcome || std::holds_alternative<Refusal>(*digest->outcome));
}

// When urgent requests arrive, waiting ones that can no longer be served in time must be told so at once.
Test(Queue, urgentArrivalsDisplaceRequestsThatCannotBeServedInTime)
{
    SmallService test;
    test.release("s", "1");
    cr_assert(isLease(test.acquire("s")));
    auto digest = test.wait(2);
    for (int i = 0; i < 20 && !digest->outcome; ++i)
        test.acquire(test.request("s", 0), std::make_shared<RecordingObserver>());
    cr_assert(digest->outcome.has_value());
    auto* refusal = std::get_if<Refusal>(&*digest->outcome);
    cr_assert(refusal && refusal->reason == RefusalReason::Displaced);
    cr_assert_gt(refusal->retryAfter.count(), 0);
}

// Urgent requests that alone exceed the capacity must not keep all others from being served.
Test(Queue, theLeastUrgentRequestsKeepAFloorOfService)
{
    SmallService test;
    // A wide target latency, so that the request waits long enough.
    auto traits = test.request("s", 2);
    auto route = std::make_shared<Fleet::Route>(*traits.route);
    route->targetLatency = 60s;
    traits.route = route;
    traits.deadline = test.fleet.clock.now() + 60s;
    auto digest = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.acquire(traits, digest)));
    for (unsigned i = 0; i < Scheduling::StarvationFloor::startsPerFloorStart; ++i) {
        test.acquire(test.request("s", 0), std::make_shared<RecordingObserver>());
        test.release("s", "1");
    }
    cr_assert(digest->outcome && std::holds_alternative<Lease>(*digest->outcome));
}

// Of two organisations of the same urgency, one that sends eight times as much must not take the whole service.
Test(Queue, servesOrganisationsOfAnUrgencyByTurns)
{
    SmallService test;
    auto arrive = [&](const std::string& organisation) {
        auto traits = test.request("s");
        traits.organisation = organisation;
        auto observer = std::make_shared<RecordingObserver>();
        test.acquire(traits, observer);
        return observer;
    };
    for (int i = 0; i < 8; ++i)
        arrive("heavy");
    auto light = arrive("light");
    test.release("s", "1");
    test.release("s", "1");
    cr_assert(light->outcome && std::holds_alternative<Lease>(*light->outcome));
}
