#include "EndToEnd/TestFleet.h"

#include "Routing/IdempotencyKey.h"
#include "Routing/Queries/SelectTarget.h"

#include <criterion/criterion.h>
#include <future>
#include <set>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// A call as its caller identifies it. Every resend carries the same key and body.
struct Booking {
    std::string id;
    std::string key;
};

// Two routers and two key homes in front of one plain service, which counts the executions of each call.
struct LedgerFixture {
    LedgerFixture()
        : service({})
    {
        fleet.declareService({ "ledger-1", "ledger-2" });
        fleet.publish();
        router1 = fleet.startRouter("router-1", "dc-1");
        router2 = fleet.startRouter("router-2", "dc-1");
        startAgents();
    }

    void startAgents()
    {
        agent1 = fleet.startServiceAgent("ledger-1", "dc-1", service);
        agent2 = fleet.startServiceAgent("ledger-2", "dc-1", service);
        waitForKeyHomes();
    }

    // Waits until both key homes run new calls of both routers. A key home that has just started has no records of
    // older keys and runs only keys issued after its start, plus a bound for the clock skew.
    void waitForKeyHomes()
    {
        for (auto& router : { router1.get(), router2.get() }) {
            std::set<std::string> homes;
            waitUntil("key homes that run new calls", [&] {
                auto booking = makeBooking();
                if (book(*router, booking).status == 200)
                    homes.insert(homeOf(booking));
                return homes.size() == 2;
            });
        }
    }

    Booking makeBooking()
    {
        return { "call-" + std::to_string(++lastCall), Routing::makeIdempotencyKey(std::chrono::system_clock::now(), random) };
    }

    static std::string homeOf(const Booking& booking)
    {
        Routing::LiveRequest request;
        request.organisation = "school-1";
        request.key = booking.key;
        request.keyHomes = { "ledger-1", "ledger-2" };
        return Routing::Queries::keyHome(request);
    }

    // Thread-safe.
    Response send(TestRouter& router, const Booking& booking)
    {
        return fleet.call(router.callers(), "/bookings", booking.id, { { "X-Organisation", "school-1" }, { "Idempotency-Key", booking.key }, { "X-Call-Id", booking.id } });
    }

    std::future<Response> sendAsync(TestRouter& router, const Booking& booking)
    {
        return std::async(std::launch::async, [this, &router, booking] { return send(router, booking); });
    }

    // Checks the reported outcome against the service's own count of executions.
    void requireConsistentOutcome(const Booking& booking, const Response& response) const
    {
        auto executions = service.executionsOf(booking.id);
        cr_assert_leq(executions, 1, "%s ran more than once", booking.id.c_str());
        cr_assert(response.outcome() != "not_run" || !executions, "%s ran but was reported as not_run: %s", booking.id.c_str(), response.body.c_str());
        cr_assert(response.status != 200 || executions == 1);
    }

    Response book(TestRouter& router, const Booking& booking)
    {
        auto response = send(router, booking);
        requireConsistentOutcome(booking, response);
        return response;
    }

    void requireAtMostOnce() const { cr_assert_leq(service.executions().maximum, 1); }

    TestFleet fleet;
    Standin::PlainService service;
    Base::SeededRandom random { 5 };
    unsigned lastCall = 0;
    std::unique_ptr<TestRouter> router1;
    std::unique_ptr<TestRouter> router2;
    std::unique_ptr<TestAgent> agent1;
    std::unique_ptr<TestAgent> agent2;
};

} // namespace

// Guards against running a call again when its caller resends it through the other router, during the first run or
// after it.
Test(AtMostOnce, resentThroughTheOtherRouter)
{
    LedgerFixture fixture;
    fixture.service.setDelay(100ms);
    for (int i = 0; i < 10; ++i) {
        auto booking = fixture.makeBooking();
        auto first = fixture.sendAsync(*fixture.router1, booking);
        auto second = fixture.book(*fixture.router2, booking);
        auto firstResponse = first.get();
        fixture.requireConsistentOutcome(booking, firstResponse);
        cr_assert(firstResponse.status == 200 || second.status == 200);
        cr_assert_eq(fixture.service.executionsOf(booking.id), 1);
        auto replay = fixture.book(*fixture.router2, booking);
        cr_assert_eq(replay.status, 200);
        cr_assert_str_eq(replay.body.c_str(), (firstResponse.status == 200 ? firstResponse : second).body.c_str());
    }
    fixture.requireAtMostOnce();
}

// Guards against running a call again, or reporting it as not_run, when its response is lost after it has run.
Test(AtMostOnce, responseLostAfterTheRun)
{
    LedgerFixture fixture;
    for (int i = 0; i < 5; ++i) {
        auto booking = fixture.makeBooking();
        fixture.service.dropAfterRun(1);
        auto lost = fixture.book(*fixture.router1, booking);
        cr_assert_str_eq(lost.outcome().c_str(), "unknown", "%s", lost.body.c_str());
        cr_assert_eq(fixture.service.executionsOf(booking.id), 1);
        auto resent = fixture.book(*fixture.router2, booking);
        cr_assert_str_eq(resent.outcome().c_str(), "unknown", "%s", resent.body.c_str());
    }
    fixture.requireAtMostOnce();
}

// Guards against running a call again when its router dies during the run and the caller resends it at once.
Test(AtMostOnce, routerDiesDuringTheRun)
{
    LedgerFixture fixture;
    fixture.service.setDelay(500ms);
    auto booking = fixture.makeBooking();
    auto first = fixture.sendAsync(*fixture.router1, booking);
    waitUntil("the call to run", [&] { return fixture.service.executionsOf(booking.id) == 1; });
    fixture.router1.reset();
    cr_assert_eq(first.get().status, 0);
    waitUntil("the response of the first run", [&] { return fixture.book(*fixture.router2, booking).status == 200; });
    fixture.requireAtMostOnce();
}

// Guards against an agent that, restarted without its key table, runs a call again that completed or was interrupted
// before the restart.
Test(AtMostOnce, restartedAgentWithoutKeyTable)
{
    LedgerFixture fixture;
    std::vector<Booking> bookings;
    for (int i = 0; i < 5; ++i) {
        bookings.push_back(fixture.makeBooking());
        cr_assert_eq(fixture.book(*fixture.router1, bookings.back()).status, 200);
    }
    fixture.service.setSilent(true);
    std::vector<std::future<Response>> interrupted;
    std::vector<Booking> interruptedBookings;
    for (int i = 0; i < 4; ++i)
        interruptedBookings.push_back(fixture.makeBooking());
    for (auto& booking : interruptedBookings)
        interrupted.push_back(fixture.sendAsync(*fixture.router1, booking));
    for (auto& booking : interruptedBookings)
        waitUntil("the call to run", [&] { return fixture.service.executionsOf(booking.id) == 1; });
    fixture.agent1.reset();
    fixture.agent2.reset();
    for (size_t i = 0; i < interrupted.size(); ++i) {
        auto response = interrupted[i].get();
        fixture.requireConsistentOutcome(interruptedBookings[i], response);
        cr_assert_str_eq(response.outcome().c_str(), "unknown");
    }
    fixture.service.setSilent(false);
    fixture.startAgents();
    bookings.insert(bookings.end(), interruptedBookings.begin(), interruptedBookings.end());
    for (auto& booking : bookings) {
        for (auto* router : { fixture.router1.get(), fixture.router2.get() }) {
            auto response = fixture.book(*router, booking);
            cr_assert_str_eq(response.outcome().c_str(), "unknown", "%s", response.body.c_str());
        }
    }
    fixture.requireAtMostOnce();
}
