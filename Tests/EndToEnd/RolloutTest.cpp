#include "EndToEnd/TestFleet.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

// Guards against a path with a gap between the published document and the caller's answer, against a request
// that fails because both replicas change weights at once or one changes them under it, and against an answer
// made of two versions.
Test(Rollout, changesTheVersionUnderLoad)
{
    TestFleet fleet;
    auto first = fleet.addVersion("1");
    auto second = fleet.addVersion("2");
    fleet.declarePool(first, 2);
    fleet.publish();
    Standin::ModelEngine engine1({}), engine2({});
    auto router = fleet.startRouter("router-1", "dc-1");
    auto agent1 = fleet.startModelAgent("agent-1", "dc-1", engine1);
    auto agent2 = fleet.startModelAgent("agent-2", "dc-1", engine2);
    fleet.waitForReplicas(*router, first, 2);
    fleet.waitForAnswer(*router);

    auto answer = fleet.generate(router->callers(), "hello", 30);
    cr_assert(isWhole(answer, "hello", 30), "%s", answer.body.c_str());
    cr_assert(Http::headerValue(answer.headers, "X-Weights-Digest") == first);

    Standin::LoadGenerator load(makeLoad({ router->callers() }, 4, 30));
    load.start();
    waitUntil("answers of the first version", [&] { return load.summary().whole >= 20; });
    fleet.desired["pools"][0]["manifest"] = second;
    fleet.publish();
    fleet.waitForReplicas(*router, second, 2);
    auto before = load.summary().whole;
    waitUntil("answers of the second version", [&] { return load.summary().whole >= before + 20; });
    auto summary = load.finish();
    requireAllWhole(summary);
    cr_assert_gt(summary.wholeByDigest[first], 0);
    cr_assert_gt(summary.wholeByDigest[second], 0);
}
