#include "EndToEnd/TestFleet.h"

#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// A permit granted just before the change stays valid for its lifetime.
constexpr auto permitLifetime = 2s;
constexpr uint64_t minimumResponses = 20;

// Two data centres with a router and a replica each. The replica of dc-2 leaves, and the router of dc-2, which prefers
// it, does not learn of the change.
struct LeavingFixture {
    LeavingFixture()
        : fleet({ "dc-1", "dc-2" })
        , stayingEngine({})
        , leavingEngine({})
    {
        auto digest = fleet.addVersion("1");
        fleet.declarePool(digest, 2);
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        staleRouter = fleet.startRouter("router-2", "dc-2");
        staying = fleet.startModelAgent("agent-1", "dc-1", stayingEngine);
        leaving = fleet.startModelAgent("agent-2", "dc-2", leavingEngine);
        fleet.waitForReplicas(*router, digest, 2);
        fleet.waitForReplicas(*staleRouter, digest, 2);
        fleet.waitForResponse(*router);
        fleet.waitForResponse(*staleRouter);
    }

    // Lets the replica of dc-2 leave under load. Checks that it starts no new requests, that its running requests
    // complete and that requests through the stale router still succeed.
    void requireGracefulLeave(const std::function<void()>& leave)
    {
        Standin::LoadGenerator load(makeLoad({ router->callers() }, 3, 20));
        Standin::LoadGenerator staleLoad(makeLoad({ staleRouter->callers() }, 3, 20));
        load.start();
        staleLoad.start();
        waitUntil("responses from the replica that is to leave", [&] { return leavingEngine.counters().completed >= minimumResponses; });
        isolateStaleRouter();
        leave();
        waitUntil("the agent to stop accepting requests", [&] { return !leaving->control().self().load.accepting; });
        std::this_thread::sleep_for(permitLifetime);
        auto started = leavingEngine.counters().started;
        auto completed = load.summary().whole;
        auto staleCompleted = staleLoad.summary().whole;
        waitUntil("responses through both routers", [&] { return load.summary().whole >= completed + minimumResponses && staleLoad.summary().whole >= staleCompleted + minimumResponses; });
        cr_assert_eq(leavingEngine.counters().started, started, "the leaving target started new requests");
        requireStaleView();
        requireAllComplete(load.finish());
        requireAllComplete(staleLoad.finish());
        cr_assert_eq(leavingEngine.counters().started, leavingEngine.counters().completed);
    }

    void isolateStaleRouter()
    {
        staleRouter->faults().setDisconnectedFromPlatform(true);
        staleRouter->faults().makePeersStale(true);
        fleet.networkFaults.setPartition({ staleRouter->faults().address() });
    }

    // Checks that the router does not know of the change, so that only the agent's refusals divert its requests.
    void requireStaleView()
    {
        cr_assert_eq(staleRouter->control().document()->revision, 1);
        for (auto& member : staleRouter->control().members()) {
            if (member.vm == "agent-2")
                cr_assert(member.status == Membership::Status::Alive && member.load.accepting);
        }
    }

    TestFleet fleet;
    Standin::ModelEngine stayingEngine;
    Standin::ModelEngine leavingEngine;
    std::unique_ptr<TestRouter> router;
    std::unique_ptr<TestRouter> staleRouter;
    std::unique_ptr<TestAgent> staying;
    std::unique_ptr<TestAgent> leaving;
};

} // namespace

// Guards against new requests in a data centre that operators have taken out, also from a router that does not know of
// it.
Test(Leaving, dataCentreTakenOut)
{
    LeavingFixture fixture;
    fixture.requireGracefulLeave([&] {
        fixture.fleet.desired["dataCentres"][1]["state"] = "out";
        fixture.fleet.publish();
    });
}

// Guards against new requests at a drained VM, also from a router that does not know of the drain.
Test(Leaving, drainedVm)
{
    LeavingFixture fixture;
    fixture.requireGracefulLeave([&] {
        fixture.fleet.desired["drains"].push_back("agent-2");
        fixture.fleet.publish();
    });
}

// Guards against new requests at a VM that the platform lists as leaving, also from a router that cannot read the list.
Test(Leaving, leavingEntryInTheVmList)
{
    LeavingFixture fixture;
    fixture.requireGracefulLeave([&] { fixture.fleet.markLeaving("agent-2"); });
}

// Guards against new requests at a plain service on a VM that the platform lists as leaving.
Test(Leaving, plainServiceOnALeavingVm)
{
    TestFleet fleet;
    fleet.declareService({ "ledger-1" });
    // The test does not resend, so a window of 1 s suffices; the agent runs new keys once its records cover the window.
    fleet.desired["services"][0]["resendWindowMs"] = 1000;
    fleet.publish();
    Standin::PlainService service({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent = fleet.startServiceAgent("ledger-1", "dc-1", service);
    waitUntil("a response", [&] { return fleet.call(router->callers(), "/bookings", "first").status == 200; });
    router->faults().setDisconnectedFromPlatform(true);
    router->faults().makePeersStale(true);
    fleet.networkFaults.setPartition({ router->faults().address() });
    fleet.markLeaving("ledger-1");
    waitUntil("the agent to stop accepting requests", [&] { return !agent->control().self().load.accepting; });
    auto response = fleet.call(router->callers(), "/bookings", "late");
    cr_assert_str_eq(response.outcome().c_str(), "not_run", "%s", response.body.c_str());
    cr_assert_eq(service.executionsOf(Base::sha256("late")), 0);
}
