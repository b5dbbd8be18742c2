#include "EndToEnd/TestFleet.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

// Guards against an agent that interrupts running requests on SIGTERM, and against failing a request that another
// replica could have served.
Test(PlannedStop, agentUnderLoad)
{
    TestFleet fleet;
    auto digest = fleet.addVersion("1");
    fleet.declarePool(digest, 2);
    fleet.publish();
    Standin::ModelEngine engine1({}), engine2({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent1 = fleet.startModelAgent("agent-1", "dc-1", engine1);
    auto agent2 = fleet.startModelAgent("agent-2", "dc-1", engine2);
    fleet.waitForReplicas(*router, digest, 2);
    fleet.waitForResponse(*router);

    Standin::LoadGenerator load(makeLoad({ router->callers() }, 6, 100));
    load.start();
    waitUntil("requests at the agent that is to stop", [&] { return engine2.counters().completed >= 5 && engine2.status().running >= 1; });
    agent2->shutDown();
    cr_assert_eq(engine2.counters().started, engine2.counters().completed, "the stop interrupted a request");
    agent2.reset();
    auto completed = load.summary().whole;
    waitUntil("responses after the stop", [&] { return load.summary().whole >= completed + 20; });
    requireAllComplete(load.finish());
}

// Guards against a router that interrupts running responses on SIGTERM.
Test(PlannedStop, routerUnderLoad)
{
    constexpr unsigned callers = 6;
    constexpr unsigned tokens = 300;
    TestFleet fleet;
    auto digest = fleet.addVersion("1");
    fleet.declarePool(digest, 1)["coldLimit"] = callers;
    fleet.publish();
    Standin::ModelEngine engine({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent = fleet.startModelAgent("agent-1", "dc-1", engine);
    fleet.waitForReplicas(*router, digest, 1);
    fleet.waitForResponse(*router);

    auto endpoint = router->callers();
    std::vector<std::future<Response>> responses;
    for (unsigned i = 0; i < callers; ++i)
        responses.push_back(std::async(std::launch::async, [&fleet, endpoint, i] { return fleet.generate(endpoint, "caller-" + std::to_string(i), tokens); }));
    waitUntil("all requests to run", [&] { return engine.status().running == callers; });
    cr_assert(router->shutDown());
    router.reset();
    for (unsigned i = 0; i < callers; ++i) {
        auto response = responses[i].get();
        cr_assert(isComplete(response, "caller-" + std::to_string(i), tokens), "the stop interrupted a request");
    }
    cr_assert_eq(fleet.generate(endpoint, "late", 1).status, 0, "a stopped router accepted a request");
}
