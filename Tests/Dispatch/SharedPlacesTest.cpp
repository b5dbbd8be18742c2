#include "Dispatch/DispatchFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// An engine of 16 places that seven routers share, full but for what the report says.
struct FullEngine : TestDispatch {
    FullEngine()
    {
        fleet.publish("c", configurationOf(1, { engineService("e") }));
        fleet.publish("t/1", engineOf("1", "e", 1, 16));
        state->setRouterCount(7);
    }

    size_t waiting()
    {
        return state->withService("e", [](ServiceState& service) { return service.waiting.size(); });
    }

    unsigned leases(unsigned attempts)
    {
        unsigned granted = 0;
        for (unsigned i = 0; i < attempts; ++i)
            granted += isLease(acquire("e"));
        return granted;
    }
};

} // namespace

// Guards against seven routers that all take the same free place, so that six requests wait in the engine.
Test(SharedPlaces, theLastPlacesNeedAGrant)
{
    FullEngine test;
    test.report("e", "1", { 15, 0, 1, false, 0 });
    cr_assert_eq(test.leases(1), 0);
    test.report("e", "1", { 15, 0, 1, false, 1 });
    // The request that waits takes the grant.
    cr_assert_eq(test.leases(1), 0);
}

// Guards against grants that are used twice.
Test(SharedPlaces, aGrantServesOneRequest)
{
    FullEngine test;
    test.report("e", "1", { 12, 0, 1, false, 2 });
    cr_assert_eq(test.leases(5), 2);
}

// Guards against routers that wait for a grant while an engine is mostly idle, and against seven of them that
// each send several requests to an engine which has just become free: it would read their prompts one after
// the other.
Test(SharedPlaces, oneRequestBetweenTwoReportsNeedsNoGrant)
{
    FullEngine test;
    test.report("e", "1", { 2, 0, 1, false, 0 });
    cr_assert_eq(test.leases(1), 1);
    cr_assert_eq(test.leases(7), 0);
    cr_assert_eq(test.waiting(), 7);
    test.report("e", "1", { 3, 0, 1, false, 0 });
    cr_assert_eq(test.waiting(), 6);
    test.report("e", "1", { 4, 0, 1, false, 3 });
    cr_assert_eq(test.waiting(), 3);
}

// Guards against places that stay idle until the next report: a router uses again what it gave back.
Test(SharedPlaces, aPlaceGivenBackStaysWithTheRouterForAMoment)
{
    FullEngine test;
    test.report("e", "1", { 15, 0, 1, false, 1 });
    cr_assert_eq(test.leases(1), 1);
    test.release("e", "1");
    cr_assert_eq(test.leases(1), 1);
    test.release("e", "1");
    test.fleet.clock.advance(TargetRuntime::placeRetention + 1ms);
    cr_assert_eq(test.leases(1), 0);
}

// Guards against a router without news of the agent that takes all places.
Test(SharedPlaces, withoutAReportARouterKeepsToItsShare)
{
    FullEngine test;
    cr_assert_eq(test.leases(10), 2);
}

// Guards against a waiting request that is forgotten when a place becomes free.
Test(SharedPlaces, aWaitingRequestTakesTheGrantOfTheNextReport)
{
    FullEngine test;
    test.report("e", "1", { 16, 0, 1, false, 0 });
    auto observer = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.acquire(test.request("e"), observer)));
    test.fleet.clock.advance(100ms);
    test.report("e", "1", { 15, 0, 1, false, 1 });
    cr_assert(observer->outcome.has_value());
    cr_assert_eq(std::get<Lease>(*observer->outcome).waited.count(), 100);
}
