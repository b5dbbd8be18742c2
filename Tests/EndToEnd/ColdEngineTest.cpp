#include "EndToEnd/TestFleet.h"

#include "Admission/Queries/CurrentLimit.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned coldLimit = 2;

// One replica that can take little while it is cold, beside one that is always warm.
struct ColdFleet {
    ColdFleet()
        : engine(options())
        , other({})
    {
        digest = fleet.addVersion("1");
        fleet.declarePool(digest, 2);
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        agent = fleet.startModelAgent("agent-1", "dc-1", engine);
        otherAgent = fleet.startModelAgent("agent-2", "dc-1", other);
        fleet.waitForReplicas(*router, digest, 2);
        fleet.waitForAnswer(*router);
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
    Standin::ModelEngine other;
    std::unique_ptr<TestRouter> router;
    std::unique_ptr<TestAgent> agent;
    std::unique_ptr<TestAgent> otherAgent;
};

} // namespace

// Guards against an agent that keeps its limit when its engine crashes: the engine, cold after its restart, would
// get more requests than it can handle and crash again. Requests that the crash broke off are answered elsewhere
// or fail openly.
Test(ColdEngine, getsNoMoreThanTheColdLimitAfterACrash)
{
    ColdFleet parts;
    Standin::LoadGenerator load(makeLoad({ parts.router->callers() }, 12, 20));
    load.start();
    waitUntil("a limit that has grown", [&] { return parts.limit() > coldLimit; });
    parts.engine.crash();
    waitUntil("cold weights after the crash", [&] { return parts.engine.counters().loads >= 2; });
    waitUntil("work at the cold engine", [&] { return parts.engine.counters().peakHeldCold >= 1; });
    waitUntil("a warm engine", [&] {
        cr_assert_leq(parts.engine.counters().crashes, 1, "the cold engine was overloaded");
        return parts.engine.status().mode == Standin::EngineMode::Ready;
    });
    waitUntil("a limit that grows again", [&] { return parts.limit() > coldLimit; });
    auto summary = load.finish();
    cr_assert(!summary.hasInvariantViolation());
    cr_assert_eq(summary.lost(), 0);
    cr_assert_eq(parts.engine.counters().crashes, 1);
    cr_assert_leq(parts.engine.counters().peakHeldCold, coldLimit);
}

// Guards against an agent that keeps its limit when a warm engine turns cold without notice.
Test(ColdEngine, getsNoMoreThanTheColdLimitAfterItTurnsCold)
{
    ColdFleet parts;
    {
        Standin::LoadGenerator heavy(makeLoad({ parts.router->callers() }, 12, 20));
        heavy.start();
        waitUntil("a limit that has grown", [&] { return parts.limit() > coldLimit; });
        requireAllWhole(heavy.finish());
    }
    auto behaviour = parts.engine.behaviour();
    // Cold until the test ends it.
    behaviour.coldTime = 1h;
    parts.engine.setBehaviour(behaviour);
    parts.engine.coolDown();
    cr_assert(parts.isCold());
    waitUntil("the cold limit", [&] { return parts.limit() == coldLimit; });
    auto startedBefore = parts.engine.counters().started;
    Standin::LoadGenerator load(makeLoad({ parts.router->callers() }, 12, 20));
    load.start();
    waitUntil("work at the cold engine", [&] {
        cr_assert_eq(parts.engine.counters().crashes, 0, "the cold engine was overloaded");
        return parts.engine.counters().started >= startedBefore + 20;
    });
    auto summary = load.finish();
    requireAllWhole(summary);
    cr_assert(parts.isCold());
    cr_assert_eq(parts.engine.counters().crashes, 0);
    cr_assert_leq(parts.engine.counters().peakHeldCold, coldLimit);
}
