#include "EndToEnd/TestFleet.h"

#include "Admission/Queries/CurrentLimit.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned coldLimit = 2;

// A replica with a low capacity while cold, and another one that is always warm.
struct ColdEngineFixture {
    ColdEngineFixture()
        : engine(options())
        , warmEngine({})
    {
        digest = fleet.addVersion("1");
        fleet.declarePool(digest, 2);
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        agent = fleet.startModelAgent("agent-1", "dc-1", engine);
        warmAgent = fleet.startModelAgent("agent-2", "dc-1", warmEngine);
        fleet.waitForReplicas(*router, digest, 2);
        fleet.waitForResponse(*router);
    }

    static Standin::EngineOptions options()
    {
        Standin::EngineOptions options;
        options.behaviour.coldTime = 2s;
        options.behaviour.coldLimit = coldLimit;
        return options;
    }

    unsigned limit() { return Admission::Queries::currentLimit(agent->targetState().limit); }

    bool isCold() { return engine.status().mode == Standin::EngineMode::Cold; }

    TestFleet fleet;
    std::string digest;
    Standin::ModelEngine engine;
    Standin::ModelEngine warmEngine;
    std::unique_ptr<TestRouter> router;
    std::unique_ptr<TestAgent> agent;
    std::unique_ptr<TestAgent> warmAgent;
};

} // namespace

// Guards against an agent that keeps its limit when its engine crashes. The engine, cold after its restart, would
// receive more requests than it can handle and crash again. Requests that the crash interrupted are served by another
// replica or fail with an error.
Test(ColdEngine, staysWithinTheColdLimitAfterACrash)
{
    ColdEngineFixture fixture;
    Standin::LoadGenerator load(makeLoad({ fixture.router->callers() }, 12, 20));
    load.start();
    waitUntil("the limit to increase", [&] { return fixture.limit() > coldLimit; });
    fixture.engine.crash();
    waitUntil("the weights to be loaded after the crash", [&] { return fixture.engine.counters().loads >= 2; });
    waitUntil("requests at the cold engine", [&] { return fixture.engine.counters().peakHeldCold >= 1; });
    waitUntil("the engine to become warm", [&] {
        cr_assert_leq(fixture.engine.counters().crashes, 1, "the cold engine was overloaded");
        return fixture.engine.status().mode == Standin::EngineMode::Ready;
    });
    waitUntil("the limit to increase again", [&] { return fixture.limit() > coldLimit; });
    auto summary = load.finish();
    cr_assert(!summary.hasInvariantViolation());
    cr_assert_eq(summary.lost(), 0);
    cr_assert_eq(fixture.engine.counters().crashes, 1);
    cr_assert_leq(fixture.engine.counters().peakHeldCold, coldLimit);
}

// Guards against an agent that keeps its limit when a warm engine becomes cold without a restart.
Test(ColdEngine, staysWithinTheColdLimitAfterBecomingCold)
{
    ColdEngineFixture fixture;
    {
        Standin::LoadGenerator heavy(makeLoad({ fixture.router->callers() }, 12, 20));
        heavy.start();
        waitUntil("the limit to increase", [&] { return fixture.limit() > coldLimit; });
        requireAllComplete(heavy.finish());
    }
    auto behaviour = fixture.engine.behaviour();
    // Longer than the test, so that the engine stays cold.
    behaviour.coldTime = 1h;
    fixture.engine.setBehaviour(behaviour);
    fixture.engine.coolDown();
    cr_assert(fixture.isCold());
    waitUntil("the cold limit", [&] { return fixture.limit() == coldLimit; });
    auto startedBefore = fixture.engine.counters().started;
    Standin::LoadGenerator load(makeLoad({ fixture.router->callers() }, 12, 20));
    load.start();
    waitUntil("requests at the cold engine", [&] {
        cr_assert_eq(fixture.engine.counters().crashes, 0, "the cold engine was overloaded");
        return fixture.engine.counters().started >= startedBefore + 20;
    });
    auto summary = load.finish();
    requireAllComplete(summary);
    cr_assert(fixture.isCold());
    cr_assert_eq(fixture.engine.counters().crashes, 0);
    cr_assert_leq(fixture.engine.counters().peakHeldCold, coldLimit);
}
