#include "EndToEnd/TestFleet.h"

#include <criterion/criterion.h>
#include <future>
#include <map>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr unsigned replicas = 3;
constexpr unsigned innocents = 6;
constexpr unsigned tokens = 400;

struct CrashFleet {
    CrashFleet()
    {
        auto digest = fleet.addVersion("1");
        fleet.declarePool(digest, replicas)["coldLimit"] = 8;
        fleet.publish();
        router1 = fleet.startRouter("router-1", "dc-1");
        router2 = fleet.startRouter("router-2", "dc-1");
        for (unsigned i = 0; i < replicas; ++i) {
            Standin::EngineOptions options;
            options.behaviour.crashMarker = "crash-marker";
            engines.push_back(std::make_unique<Standin::ModelEngine>(options));
            agents.push_back(fleet.startModelAgent("agent-" + std::to_string(i), "dc-1", *engines.back()));
        }
        for (auto* router : { router1.get(), router2.get() }) {
            fleet.waitForReplicas(*router, digest, replicas);
            fleet.waitForAnswer(*router);
        }
    }

    Answer sendCrashing(TestRouter& router) { return fleet.generate(router.callers(), "poison crash-marker", tokens); }

    std::future<Answer> sendInnocent(TestRouter& router, unsigned number)
    {
        return std::async(std::launch::async, [this, endpoint = router.callers(), number] { return fleet.generate(endpoint, "innocent-" + std::to_string(number), tokens); });
    }

    uint64_t crashes() const
    {
        uint64_t total = 0;
        for (auto& engine : engines)
            total += engine->counters().crashes;
        return total;
    }

    unsigned running() const
    {
        uint64_t total = 0;
        for (auto& engine : engines)
            total += engine->status().running;
        return static_cast<unsigned>(total);
    }

    // Whether the router has heard of crashes of two targets under one request.
    static bool hasHeardOfBoth(TestRouter& router)
    {
        std::map<uint64_t, std::set<std::string>> targets;
        for (auto& suspicion : router.process().crashReports())
            targets[suspicion.fingerprint].insert(suspicion.target);
        return std::any_of(targets.begin(), targets.end(), [](auto& entry) { return entry.second.size() >= 2; });
    }

    TestFleet fleet;
    std::unique_ptr<TestRouter> router1;
    std::unique_ptr<TestRouter> router2;
    std::vector<std::unique_ptr<Standin::ModelEngine>> engines;
    std::vector<std::unique_ptr<TestAgent>> agents;
};

} // namespace

// Guards against a request that crashes every engine as its caller resends it, and against blaming requests that only
// ran beside it.
Test(CrashingRequest, isQuarantinedOnBothRouters)
{
    CrashFleet parts;
    std::vector<std::future<Answer>> beside;
    for (unsigned i = 0; i < innocents; ++i)
        beside.push_back(parts.sendInnocent(i % 2 ? *parts.router1 : *parts.router2, i));
    waitUntil("innocent requests that run", [&] { return parts.running() == innocents; });

    waitUntil("two crashes", [&] {
        parts.sendCrashing(*parts.router1);
        return parts.crashes() >= 2;
    });
    waitUntil("a quarantine on the first router", [&] { return parts.sendCrashing(*parts.router1).errorCode() == "quarantined"; });
    waitUntil("evidence on the second router", [&] { return CrashFleet::hasHeardOfBoth(*parts.router2); });
    // Until all reports of the crashes should have arrived the second router holds the request.
    waitUntil("a quarantine on the second router", [&] { return parts.sendCrashing(*parts.router2).errorCode() == "quarantined"; });
    cr_assert_eq(parts.crashes(), 2);

    for (auto& answer : beside)
        answer.wait();
    for (auto* router : { parts.router1.get(), parts.router2.get() }) {
        std::vector<std::future<Answer>> again;
        for (unsigned i = 0; i < innocents; ++i)
            again.push_back(parts.sendInnocent(*router, i));
        for (unsigned i = 0; i < innocents; ++i) {
            auto answer = again[i].get();
            cr_assert(isWhole(answer, "innocent-" + std::to_string(i), tokens), "%s", answer.body.substr(0, 300).c_str());
        }
    }
    cr_assert_eq(parts.crashes(), 2);
}
