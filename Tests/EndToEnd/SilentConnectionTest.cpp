#include "EndToEnd/FaultyChannels.h"
#include "EndToEnd/TestFleet.h"

#include "Routing/IdempotencyKey.h"

#include <criterion/criterion.h>
#include <future>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

// Guards against requests that wait until their deadline for an unresponsive connection although new connections work.
Test(SilentConnection, isReplacedBeforeTheDeadline)
{
    // Every request is retried once; the two rounds together stay within the retry budget's burst of 10.
    constexpr unsigned callers = 4;
    constexpr unsigned tokens = 5;
    TestFleet fleet;
    auto digest = fleet.addVersion("1");
    auto& pool = fleet.declarePool(digest, 1);
    pool["coldLimit"] = 16;
    pool["fullLimit"] = 16;
    fleet.publish();
    Standin::ModelEngine engine({});
    auto channels = std::make_shared<FaultyChannels>();
    auto router = fleet.startRouter("router-1", "dc-1", 64 * 1024 * 1024, channels);
    auto agent = fleet.startModelAgent("agent-1", "dc-1", engine);
    fleet.waitForReplicas(*router, digest, 1);
    fleet.waitForResponse(*router);
    for (int round = 0; round < 2; ++round) {
        channels->freezeConnections();
        std::vector<std::future<Response>> responses;
        for (unsigned i = 0; i < callers; ++i) {
            auto identifier = std::to_string(round) + "-" + std::to_string(i);
            responses.push_back(std::async(std::launch::async, [&fleet, &router, identifier] { return fleet.generate(router->callers(), identifier, tokens); }));
        }
        for (unsigned i = 0; i < callers; ++i) {
            auto response = responses[i].get();
            cr_assert(isComplete(response, std::to_string(round) + "-" + std::to_string(i), tokens), "%u %s", response.status, response.body.c_str());
        }
    }
}

// Guards against running a call twice because a paused router sends its body after the permit has expired and the
// caller has resent the call through another router.
Test(PausedRouter, lateBodyIsRejected)
{
    TestFleet fleet;
    fleet.declareService({ "ledger-1" });
    fleet.publish();
    Standin::PlainService service({});
    auto channels = std::make_shared<FaultyChannels>();
    auto paused = fleet.startRouter("router-1", "dc-1", 64 * 1024 * 1024, channels);
    auto other = fleet.startRouter("router-2", "dc-1");
    auto agent = fleet.startServiceAgent("ledger-1", "dc-1", service);
    Base::SeededRandom random { 5 };
    auto book = [&](TestRouter& router, const std::string& key, const std::string& id) {
        return fleet.call(router.callers(), "/bookings", id, { { "X-Organisation", "school-1" }, { "Idempotency-Key", key }, { "X-Call-Id", id } });
    };
    auto makeKey = [&] { return Routing::makeIdempotencyKey(std::chrono::system_clock::now(), random); };
    for (auto* router : { paused.get(), other.get() })
        waitUntil("the key home to run new calls", [&] { return book(*router, makeKey(), "probe").status == 200; });

    auto key = makeKey();
    channels->holdSends(true);
    auto late = std::async(std::launch::async, [&] { return book(*paused, key, "loan"); });
    waitUntil("a permit whose body is delayed", [&] { return channels->heldSends() == 1; });
    // Advances the clock past the permit's lifetime in steps too short for the agent to detect a pause.
    waitUntil("the permit to expire", [&] {
        agent->faults().clock().advanceAndStop(500ms);
        agent->faults().clock().resume();
        std::this_thread::sleep_for(300ms);
        return !agent->targetState().permits.occupancy.usage().slots;
    });
    cr_assert_eq(service.executionsOf("loan"), 0);
    auto first = book(*other, key, "loan");
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    cr_assert_eq(channels->refusals(Routing::RefusalKind::PermitExpired), 0);
    channels->holdSends(false);
    auto response = late.get();
    cr_assert_eq(channels->refusals(Routing::RefusalKind::PermitExpired), 1);
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
    cr_assert(response.body == first.body);
    cr_assert_eq(service.executionsOf("loan"), 1);
}
