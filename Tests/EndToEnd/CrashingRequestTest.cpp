#include "EndToEnd/TestFleet.h"

#include <criterion/criterion.h>
#include <future>
#include <map>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;

namespace {

constexpr unsigned replicas = 3;
constexpr unsigned unrelatedRequests = 6;
constexpr unsigned tokens = 400;

struct CrashFixture {
    CrashFixture()
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
            fleet.waitForResponse(*router);
        }
    }

    Response sendCrashing(TestRouter& router) { return fleet.generate(router.callers(), "poison crash-marker", tokens); }

    std::future<Response> sendUnrelated(TestRouter& router, unsigned number)
    {
        return std::async(std::launch::async, [this, endpoint = router.callers(), number] { return fleet.generate(endpoint, "unrelated-" + std::to_string(number), tokens); });
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

    // Whether the router has reports of crashes of two targets with the same request fingerprint.
    static bool hasReportsOfTwoTargets(TestRouter& router)
    {
        std::map<uint64_t, std::set<std::string>> targets;
        for (auto& report : router.process().crashReports())
            targets[report.fingerprint].insert(report.target);
        return std::any_of(targets.begin(), targets.end(), [](auto& entry) { return entry.second.size() >= 2; });
    }

    TestFleet fleet;
    std::unique_ptr<TestRouter> router1;
    std::unique_ptr<TestRouter> router2;
    std::vector<std::unique_ptr<Standin::ModelEngine>> engines;
    std::vector<std::unique_ptr<TestAgent>> agents;
};

} // namespace

// Guards against a request that crashes one engine after another as its caller resends it, and against quarantining
// requests that ran at the same time.
Test(CrashingRequest, isQuarantinedOnBothRouters)
{
    CrashFixture fixture;
    std::vector<std::future<Response>> concurrent;
    for (unsigned i = 0; i < unrelatedRequests; ++i)
        concurrent.push_back(fixture.sendUnrelated(i % 2 ? *fixture.router1 : *fixture.router2, i));
    waitUntil("the unrelated requests to run", [&] { return fixture.running() == unrelatedRequests; });

    waitUntil("two crashes", [&] {
        fixture.sendCrashing(*fixture.router1);
        return fixture.crashes() >= 2;
    });
    waitUntil("the first router to quarantine the request", [&] { return fixture.sendCrashing(*fixture.router1).errorCode() == "quarantined"; });
    waitUntil("the crash reports to reach the second router", [&] { return CrashFixture::hasReportsOfTwoTargets(*fixture.router2); });
    // The second router holds the request back until all reports of the crashes should have arrived.
    waitUntil("the second router to quarantine the request", [&] { return fixture.sendCrashing(*fixture.router2).errorCode() == "quarantined"; });
    cr_assert_eq(fixture.crashes(), 2);

    for (auto& response : concurrent)
        response.wait();
    for (auto* router : { fixture.router1.get(), fixture.router2.get() }) {
        std::vector<std::future<Response>> again;
        for (unsigned i = 0; i < unrelatedRequests; ++i)
            again.push_back(fixture.sendUnrelated(*router, i));
        for (unsigned i = 0; i < unrelatedRequests; ++i) {
            auto response = again[i].get();
            cr_assert(isComplete(response, "unrelated-" + std::to_string(i), tokens), "%s", response.body.substr(0, 300).c_str());
        }
    }
    cr_assert_eq(fixture.crashes(), 2);
}
