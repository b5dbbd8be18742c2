#include "EndToEnd/TestFleet.h"

#include "Base/Digest.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// A permit granted just before the news may still be used within its life.
constexpr auto permitLife = 2s;
constexpr uint64_t enoughAnswers = 20;

// Two data centres with a router and a replica each. The router of dc-2 prefers the replica there, which is
// to leave, and misses the news.
struct LeavingFleet {
    LeavingFleet()
        : fleet({ "dc-1", "dc-2" })
        , stayingEngine({})
        , leavingEngine({})
    {
        auto digest = fleet.addVersion("1");
        fleet.declarePool(digest, 2);
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        unaware = fleet.startRouter("router-2", "dc-2");
        staying = fleet.startModelAgent("agent-1", "dc-1", stayingEngine);
        leaving = fleet.startModelAgent("agent-2", "dc-2", leavingEngine);
        fleet.waitForReplicas(*router, digest, 2);
        fleet.waitForReplicas(*unaware, digest, 2);
        fleet.waitForAnswer(*router);
        fleet.waitForAnswer(*unaware);
    }

    // Lets the replica of dc-2 leave under load and checks that it gets no new work, that none of its work is
    // cut, and that the router that missed the news is answered all the same.
    void requireGracefulLeave(const std::function<void()>& leave)
    {
        Standin::LoadGenerator load(makeLoad({ router->callers() }, 3, 20));
        Standin::LoadGenerator unawareLoad(makeLoad({ unaware->callers() }, 3, 20));
        load.start();
        unawareLoad.start();
        waitUntil("work at the replica that is to leave", [&] { return leavingEngine.counters().completed >= enoughAnswers; });
        isolateUnawareRouter();
        leave();
        waitUntil("an agent that takes no more work", [&] { return !leaving->control().self().load.accepting; });
        std::this_thread::sleep_for(permitLife);
        auto started = leavingEngine.counters().started;
        auto answered = load.summary().whole;
        auto unawareAnswered = unawareLoad.summary().whole;
        waitUntil("answers of both routers", [&] { return load.summary().whole >= answered + enoughAnswers && unawareLoad.summary().whole >= unawareAnswered + enoughAnswers; });
        cr_assert_eq(leavingEngine.counters().started, started, "the target that leaves got new work");
        requireUnaware();
        requireAllWhole(load.finish());
        requireAllWhole(unawareLoad.finish());
        cr_assert_eq(leavingEngine.counters().started, leavingEngine.counters().completed);
    }

    void isolateUnawareRouter()
    {
        unaware->switches().cutOffFromPlatform(true);
        unaware->switches().makePeersStale(true);
        fleet.faults.setPartition({ unaware->switches().address() });
    }

    // The router has not heard of the change, so that only the agent's refusals keep its requests away.
    void requireUnaware()
    {
        cr_assert_eq(unaware->control().document()->revision, 1);
        for (auto& member : unaware->control().members()) {
            if (member.vm == "agent-2")
                cr_assert(member.status == Membership::Status::Alive && member.load.accepting);
        }
    }

    TestFleet fleet;
    Standin::ModelEngine stayingEngine;
    Standin::ModelEngine leavingEngine;
    std::unique_ptr<TestRouter> router;
    std::unique_ptr<TestRouter> unaware;
    std::unique_ptr<TestAgent> staying;
    std::unique_ptr<TestAgent> leaving;
};

} // namespace

// Guards against new work in a data centre that operators have taken out, also from a router that missed it.
Test(Leaving, dataCentreTakenOut)
{
    LeavingFleet parts;
    parts.requireGracefulLeave([&] {
        parts.fleet.desired["dataCentres"][1]["state"] = "out";
        parts.fleet.publish();
    });
}

// Guards against new work at a drained VM, also from a router that missed the drain.
Test(Leaving, drainedVm)
{
    LeavingFleet parts;
    parts.requireGracefulLeave([&] {
        parts.fleet.desired["drains"].push_back("agent-2");
        parts.fleet.publish();
    });
}

// Guards against new work at a VM that the platform lists as leaving, also from a router that does not see the list.
Test(Leaving, leavingEntryInTheVmList)
{
    LeavingFleet parts;
    parts.requireGracefulLeave([&] { parts.fleet.leave("agent-2"); });
}

// Guards against new work at a plain service on a VM that the platform lists as leaving.
Test(Leaving, plainServiceOnALeavingVm)
{
    TestFleet fleet;
    fleet.declareService({ "ledger-1" });
    // Resends are ruled out here, so that a memory of a second runs any key.
    fleet.desired["services"][0]["resendWindowMs"] = 1000;
    fleet.publish();
    Standin::PlainService service({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent = fleet.startServiceAgent("ledger-1", "dc-1", service);
    waitUntil("an answer", [&] { return fleet.call(router->callers(), "/bookings", "first").status == 200; });
    router->switches().cutOffFromPlatform(true);
    router->switches().makePeersStale(true);
    fleet.faults.setPartition({ router->switches().address() });
    fleet.leave("ledger-1");
    waitUntil("an agent that takes no more work", [&] { return !agent->control().self().load.accepting; });
    auto answer = fleet.call(router->callers(), "/bookings", "late");
    cr_assert_str_eq(answer.outcome().c_str(), "not_run", "%s", answer.body.c_str());
    cr_assert_eq(service.executionsOf(Base::sha256("late")), 0);
}
