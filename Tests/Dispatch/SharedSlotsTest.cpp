#include "Dispatch/DispatchFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Dispatch;
using namespace std::chrono_literals;

namespace {

// An engine with 16 slots that seven routers share. Each test reports its load.
struct SharedEngine : TestDispatch {
    SharedEngine()
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

// Seven routers must not all use the same free slot, which would queue six requests in the engine.
Test(SharedSlots, theLastSlotsNeedAGrant)
{
    SharedEngine test;
    test.report("e", "1", { 15, 0, 1, false, 0 });
    cr_assert_eq(test.leases(1), 0);
    test.report("e", "1", { 15, 0, 1, false, 1 });
    // The queued request takes the grant.
    cr_assert_eq(test.leases(1), 0);
}

// A grant must not be used twice.
Test(SharedSlots, aGrantServesOneRequest)
{
    SharedEngine test;
    test.report("e", "1", { 12, 0, 1, false, 2 });
    cr_assert_eq(test.leases(5), 2);
}

// Routers must not wait for a grant while an engine is mostly idle. Nor must each of seven routers send several requests
// to an engine that has just become free, because it would process their prompts one after the other.
Test(SharedSlots, oneRequestBetweenTwoReportsNeedsNoGrant)
{
    SharedEngine test;
    test.report("e", "1", { 2, 0, 1, false, 0 });
    cr_assert_eq(test.leases(1), 1);
    cr_assert_eq(test.leases(7), 0);
    cr_assert_eq(test.waiting(), 7);
    test.report("e", "1", { 3, 0, 1, false, 0 });
    cr_assert_eq(test.waiting(), 6);
    test.report("e", "1", { 4, 0, 1, false, 3 });
    cr_assert_eq(test.waiting(), 3);
}

// A released slot must not stay idle until the next report: its router may reuse it for a short time.
Test(SharedSlots, aReleasedSlotIsReservedForItsRouter)
{
    SharedEngine test;
    test.report("e", "1", { 15, 0, 1, false, 1 });
    cr_assert_eq(test.leases(1), 1);
    test.release("e", "1");
    cr_assert_eq(test.leases(1), 1);
    test.release("e", "1");
    test.fleet.clock.advance(TargetRuntime::slotRetention + 1ms);
    cr_assert_eq(test.leases(1), 0);
}

// A router without a report from the agent must not use all slots.
Test(SharedSlots, withoutAReportARouterKeepsToItsShare)
{
    SharedEngine test;
    cr_assert_eq(test.leases(10), 2);
}

// A queued request must get the slot that a report grants.
Test(SharedSlots, aWaitingRequestTakesTheGrantOfTheNextReport)
{
    SharedEngine test;
    test.report("e", "1", { 16, 0, 1, false, 0 });
    auto observer = std::make_shared<RecordingObserver>();
    cr_assert(std::holds_alternative<Queued>(test.acquire(test.request("e"), observer)));
    test.fleet.clock.advance(100ms);
    test.report("e", "1", { 15, 0, 1, false, 1 });
    cr_assert(observer->outcome.has_value());
    cr_assert_eq(std::get<Lease>(*observer->outcome).waited.count(), 100);
}
