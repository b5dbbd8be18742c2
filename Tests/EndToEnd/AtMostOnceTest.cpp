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

// A call as its caller knows it: every resend carries the same key and body.
struct Booking {
    std::string id;
    std::string key;
};

// Two routers and two key homes in front of one plain service, which counts the runs of each call.
struct LedgerFleet {
    LedgerFleet()
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
        waitForHomes();
    }

    // Until both homes run new calls of both routers. A home without a long memory runs only keys issued a while after
    // its start.
    void waitForHomes()
    {
        for (auto& router : { router1.get(), router2.get() }) {
            std::set<std::string> homes;
            waitUntil("homes that run new calls", [&] {
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

    // Sends the call; from any thread.
    Answer send(TestRouter& router, const Booking& booking)
    {
        return fleet.call(router.callers(), "/bookings", booking.id, { { "X-Organisation", "school-1" }, { "Idempotency-Key", booking.key }, { "X-Call-Id", booking.id } });
    }

    std::future<Answer> sendAside(TestRouter& router, const Booking& booking)
    {
        return std::async(std::launch::async, [this, &router, booking] { return send(router, booking); });
    }

    // Checks what the caller was told against the service's own count.
    void requireTruth(const Booking& booking, const Answer& answer) const
    {
        auto executions = service.executionsOf(booking.id);
        cr_assert_leq(executions, 1, "%s ran more than once", booking.id.c_str());
        cr_assert(answer.outcome() != "not_run" || !executions, "%s ran but its caller was told that it did not: %s", booking.id.c_str(), answer.body.c_str());
        cr_assert(answer.status != 200 || executions == 1);
    }

    Answer book(TestRouter& router, const Booking& booking)
    {
        auto answer = send(router, booking);
        requireTruth(booking, answer);
        return answer;
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

// Guards against a second run of a call that its caller resends through the other router, while the first one runs
// or after it has ended.
Test(AtMostOnce, resentThroughTheOtherRouter)
{
    LedgerFleet parts;
    parts.service.setDelay(100ms);
    for (int i = 0; i < 10; ++i) {
        auto booking = parts.makeBooking();
        auto first = parts.sendAside(*parts.router1, booking);
        auto second = parts.book(*parts.router2, booking);
        auto winner = first.get();
        parts.requireTruth(booking, winner);
        cr_assert(winner.status == 200 || second.status == 200);
        cr_assert_eq(parts.service.executionsOf(booking.id), 1);
        auto replay = parts.book(*parts.router2, booking);
        cr_assert_eq(replay.status, 200);
        cr_assert_str_eq(replay.body.c_str(), (winner.status == 200 ? winner : second).body.c_str());
    }
    parts.requireAtMostOnce();
}

// Guards against a repeated run of a call whose answer was lost after it ran, and against telling its caller that it
// did not run.
Test(AtMostOnce, answerLostAfterTheRun)
{
    LedgerFleet parts;
    for (int i = 0; i < 5; ++i) {
        auto booking = parts.makeBooking();
        parts.service.dropAfterRun(1);
        auto lost = parts.book(*parts.router1, booking);
        cr_assert_str_eq(lost.outcome().c_str(), "unknown", "%s", lost.body.c_str());
        cr_assert_eq(parts.service.executionsOf(booking.id), 1);
        auto resent = parts.book(*parts.router2, booking);
        cr_assert_str_eq(resent.outcome().c_str(), "unknown", "%s", resent.body.c_str());
    }
    parts.requireAtMostOnce();
}

// Guards against a second run of a call whose router died while it ran, and whose caller resends it at once.
Test(AtMostOnce, routerThatDiesDuringTheRun)
{
    LedgerFleet parts;
    parts.service.setDelay(500ms);
    auto booking = parts.makeBooking();
    auto first = parts.sendAside(*parts.router1, booking);
    waitUntil("a call that runs", [&] { return parts.service.executionsOf(booking.id) == 1; });
    parts.router1.reset();
    cr_assert_eq(first.get().status, 0);
    waitUntil("the answer of the first run", [&] { return parts.book(*parts.router2, booking).status == 200; });
    parts.requireAtMostOnce();
}

// Guards against an agent that, replaced and without memory, runs a call again that its predecessor ran, be it
// complete or cut off while it ran.
Test(AtMostOnce, replacedAgentWithoutMemory)
{
    LedgerFleet parts;
    std::vector<Booking> bookings;
    for (int i = 0; i < 5; ++i) {
        bookings.push_back(parts.makeBooking());
        cr_assert_eq(parts.book(*parts.router1, bookings.back()).status, 200);
    }
    parts.service.setSilent(true);
    std::vector<std::future<Answer>> cut;
    std::vector<Booking> cutBookings;
    for (int i = 0; i < 4; ++i)
        cutBookings.push_back(parts.makeBooking());
    for (auto& booking : cutBookings)
        cut.push_back(parts.sendAside(*parts.router1, booking));
    for (auto& booking : cutBookings)
        waitUntil("a call that runs", [&] { return parts.service.executionsOf(booking.id) == 1; });
    parts.agent1.reset();
    parts.agent2.reset();
    for (size_t i = 0; i < cut.size(); ++i) {
        auto answer = cut[i].get();
        parts.requireTruth(cutBookings[i], answer);
        cr_assert_str_eq(answer.outcome().c_str(), "unknown");
    }
    parts.service.setSilent(false);
    parts.startAgents();
    bookings.insert(bookings.end(), cutBookings.begin(), cutBookings.end());
    for (auto& booking : bookings) {
        for (auto* router : { parts.router1.get(), parts.router2.get() }) {
            auto answer = parts.book(*router, booking);
            cr_assert_str_eq(answer.outcome().c_str(), "unknown", "%s", answer.body.c_str());
        }
    }
    parts.requireAtMostOnce();
}
