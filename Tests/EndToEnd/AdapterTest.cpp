#include "EndToEnd/TestFleet.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr uint64_t chunkBytes = 64 * 1024;

// A base model and an adapter whose first chunk of weights is identical.
struct AdapterFixture {
    AdapterFixture()
    {
        auto baseModel = fleet.store.addModel({ { "assistant", "1", 4 * chunkBytes, chunkBytes }, 5, 25 });
        auto adapterModel = fleet.store.addModel({ { "assistant", "repair", 2 * chunkBytes, chunkBytes }, 5, 50 });
        cr_assert(baseModel->chunkDigests().at(1) == adapterModel->chunkDigests().at(1));
        sharedChunk = baseModel->chunkDigests().at(1);
        base = baseModel->digest();
        adapter = adapterModel->digest();
        fleet.declarePool(base, 2);
        fleet.publish();
        router = fleet.startRouter("router-1", "dc-1");
        // The third process of the data centre; with two, the readers call the configuration service only rarely.
        otherRouter = fleet.startRouter("router-2", "dc-1");
        agent1 = fleet.startModelAgent("agent-1", "dc-1", engine1);
        fleet.waitForResponse(*router);
    }

    void publishAdapter()
    {
        fleet.desired["pools"][0]["adapters"] = { adapter };
        fleet.desired["routes"].push_back({ { "path", "/repair" }, { "pool", "assistant" }, { "adapter", adapter } });
        fleet.publish();
    }

    void withdrawAdapter()
    {
        fleet.desired["pools"][0].erase("adapters");
        fleet.desired["routes"].erase(1);
        fleet.publish();
    }

    // Waits until the router knows exactly `count` accepting replicas with the adapter.
    void waitForAdapters(unsigned count)
    {
        waitUntil("replicas that have loaded the adapter", [&] {
            auto members = router->control().members();
            return static_cast<unsigned>(std::count_if(members.begin(), members.end(), [&](auto& member) {
                return member.load.accepting && !member.replicas.empty() && member.replicas[0].adapters == std::vector { adapter };
            })) == count;
        });
    }

    Response repair(unsigned tokens) { return fleet.generate(router->callers(), "note", tokens, "/repair"); }

    TestFleet fleet;
    std::string base;
    std::string adapter;
    std::string sharedChunk;
    Standin::ModelEngine engine1 { {} };
    Standin::ModelEngine engine2 { {} };
    std::unique_ptr<TestRouter> router;
    std::unique_ptr<TestRouter> otherRouter;
    std::unique_ptr<TestAgent> agent1;
    std::unique_ptr<TestAgent> agent2;
};

} // namespace

// Guards against a published adapter that never becomes available, that makes its replica unavailable while it loads,
// whose shared chunks are fetched twice, that is not loaded again after an engine restart or that is unloaded during a
// request; and against responses from the base model instead.
Test(Adapters, arePublishedReloadedAndWithdrawnUnderLoad)
{
    AdapterFixture fixture;
    cr_assert(fixture.repair(1).errorCode() == "no_route");
    fixture.publishAdapter();
    fixture.waitForAdapters(1);
    waitUntil("a response from the adapter", [&] { return fixture.repair(1).status == 200; });
    auto response = fixture.repair(20);
    cr_assert(isComplete(response, "note", 20), "%s", response.body.c_str());
    cr_assert(Http::headerValue(response.headers, "X-Adapter-Digest") == fixture.adapter);
    cr_assert(Http::headerValue(response.headers, "X-Weights-Digest") == fixture.base);
    auto plain = fixture.fleet.generate(fixture.router->callers(), "hello", 20);
    cr_assert(isComplete(plain, "hello", 20));
    cr_assert(Http::headerValue(plain.headers, "X-Adapter-Digest").empty());
    cr_assert_eq(fixture.fleet.store.counters().chunks[fixture.sharedChunk].requests, 1);
    cr_assert_eq(fixture.engine1.counters().loads, 1, "loading the adapter reloaded the base model");

    fixture.agent2 = fixture.fleet.startModelAgent("agent-2", "dc-1", fixture.engine2);
    fixture.waitForAdapters(2);
    auto options = makeLoad({ fixture.router->callers() }, 4, 20);
    options.path = "/repair";
    Standin::LoadGenerator load(options);
    load.start();
    waitUntil("responses under load", [&] { return load.summary().whole >= 20; });
    fixture.engine1.crash();
    waitUntil("the adapter to be loaded again", [&] { return fixture.engine1.counters().adapterLoads == 2; });
    fixture.waitForAdapters(2);
    auto summary = load.finish();
    cr_assert(!summary.hasInvariantViolation(), "%s", toJson(summary).dump().c_str());
    cr_assert_eq(summary.lost(), 0);

    auto started = fixture.engine1.counters().started + fixture.engine2.counters().started;
    auto last = std::async(std::launch::async, [&] { return fixture.repair(600); });
    waitUntil("the request to run", [&] { return fixture.engine1.counters().started + fixture.engine2.counters().started > started; });
    fixture.withdrawAdapter();
    waitUntil("the route to be withdrawn", [&] { return fixture.repair(1).errorCode() == "no_route"; });
    cr_assert(isComplete(last.get(), "note", 600), "the adapter was unloaded during a request");
    waitUntil("the adapter to be unloaded", [&] { return fixture.engine1.status().adapters.empty() && fixture.engine2.status().adapters.empty(); });
    cr_assert(isComplete(fixture.fleet.generate(fixture.router->callers(), "hello", 20), "hello", 20));
}
