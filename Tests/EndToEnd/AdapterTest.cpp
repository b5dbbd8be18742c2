#include "EndToEnd/TestFleet.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr uint64_t chunkBytes = 64 * 1024;

// A base model and an adapter of which the first chunk of weights is the same.
struct AdapterFleet {
    AdapterFleet()
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
        // A data centre with two processes has no watch on the configuration service.
        otherRouter = fleet.startRouter("router-2", "dc-1");
        agent1 = fleet.startModelAgent("agent-1", "dc-1", engine1);
        fleet.waitForAnswer(*router);
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

    // Waits until the router knows so many replicas with the adapter.
    void waitForAdapters(unsigned count)
    {
        waitUntil("replicas with the adapter", [&] {
            auto members = router->control().members();
            return static_cast<unsigned>(std::count_if(members.begin(), members.end(), [&](auto& member) {
                return member.load.accepting && !member.replicas.empty() && member.replicas[0].adapters == std::vector { adapter };
            })) == count;
        });
    }

    Answer repair(unsigned tokens) { return fleet.generate(router->callers(), "note", tokens, "/repair"); }

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

// Guards against an adapter that is published and never answers, that takes a replica out, whose shared chunks
// are fetched twice, that stays away after an engine's restart, or that is unloaded under a request; and against
// answers from the base model in its place.
Test(Adapters, arePublishedRepairedAndWithdrawnUnderLoad)
{
    AdapterFleet parts;
    cr_assert(parts.repair(1).errorCode() == "no_route");
    parts.publishAdapter();
    parts.waitForAdapters(1);
    waitUntil("an answer of the adapter", [&] { return parts.repair(1).status == 200; });
    auto answer = parts.repair(20);
    cr_assert(isWhole(answer, "note", 20), "%s", answer.body.c_str());
    cr_assert(Http::headerValue(answer.headers, "X-Adapter-Digest") == parts.adapter);
    cr_assert(Http::headerValue(answer.headers, "X-Weights-Digest") == parts.base);
    auto plain = parts.fleet.generate(parts.router->callers(), "hello", 20);
    cr_assert(isWhole(plain, "hello", 20));
    cr_assert(Http::headerValue(plain.headers, "X-Adapter-Digest").empty());
    cr_assert_eq(parts.fleet.store.counters().chunks[parts.sharedChunk].requests, 1);
    cr_assert_eq(parts.engine1.counters().loads, 1, "loading the adapter took the replica out");

    parts.agent2 = parts.fleet.startModelAgent("agent-2", "dc-1", parts.engine2);
    parts.waitForAdapters(2);
    auto options = makeLoad({ parts.router->callers() }, 4, 20);
    options.path = "/repair";
    Standin::LoadGenerator load(options);
    load.start();
    waitUntil("answers under load", [&] { return load.summary().whole >= 20; });
    parts.engine1.crash();
    waitUntil("the adapter loaded again", [&] { return parts.engine1.counters().adapterLoads == 2; });
    parts.waitForAdapters(2);
    auto summary = load.finish();
    cr_assert(!summary.hasInvariantViolation(), "%s", toJson(summary).dump().c_str());
    cr_assert_eq(summary.lost(), 0);

    auto started = parts.engine1.counters().started + parts.engine2.counters().started;
    auto last = std::async(std::launch::async, [&] { return parts.repair(600); });
    waitUntil("a running request", [&] { return parts.engine1.counters().started + parts.engine2.counters().started > started; });
    parts.withdrawAdapter();
    waitUntil("the route withdrawn", [&] { return parts.repair(1).errorCode() == "no_route"; });
    cr_assert(isWhole(last.get(), "note", 600), "the adapter was unloaded under a request");
    waitUntil("the adapter unloaded", [&] { return parts.engine1.status().adapters.empty() && parts.engine2.status().adapters.empty(); });
    cr_assert(isWhole(parts.fleet.generate(parts.router->callers(), "hello", 20), "hello", 20));
}
