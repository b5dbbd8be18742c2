#include "Routing/RoutingFixture.h"
#include "Streaming/Commands/ChargeStream.h"
#include "Streaming/Queries/FindLongestBlocked.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Lavenderloft;
using namespace std::chrono_literals;

// The charged bytes must never exceed the budget, and must return to zero when the streams end.
Test(ByteBudget, neverExceedsItsLimit)
{
    Base::ManualClock clock;
    Streaming::ByteBudget budget(1000);
    cr_assert(Base::succeeded(Streaming::Commands::chargeStream(budget, "a", 600, clock.now())));
    clock.advance(1ms);
    cr_assert(Base::succeeded(Streaming::Commands::chargeStream(budget, "b", 400, clock.now())));
    cr_assert_not(Base::succeeded(Streaming::Commands::chargeStream(budget, "c", 1, clock.now())));
    cr_assert(Streaming::Queries::findLongestBlocked(budget) == "a");
    Streaming::Commands::releaseStream(budget, "a");
    Streaming::Commands::releaseStream(budget, "a");
    cr_assert(Streaming::Queries::findLongestBlocked(budget) == "b");
    Streaming::Commands::releaseStream(budget, "b");
    cr_assert_eq(budget.heldBytes(), 0);
}

// Concurrent charges must not exceed the budget.
Test(ByteBudget, staysWithinItsLimitWithSeveralThreads)
{
    Base::ManualClock clock;
    Streaming::ByteBudget budget(10000);
    auto work = [&](const std::string& name) {
        for (int i = 0; i < 2000; ++i) {
            auto stream = name + std::to_string(i % 50);
            if (!Base::succeeded(Streaming::Commands::chargeStream(budget, stream, 700, clock.now())))
                Streaming::Commands::releaseStream(budget, stream);
        }
        for (int i = 0; i < 50; ++i)
            Streaming::Commands::releaseStream(budget, name + std::to_string(i));
    };
    std::thread first(work, "a");
    std::thread second(work, "b");
    first.join();
    second.join();
    cr_assert_leq(budget.peakBytes(), budget.limitBytes());
    cr_assert_eq(budget.heldBytes(), 0);
}

// Memory must not grow with the number of slow readers. Only the stream that has been blocked longest is aborted, and its
// response must not look complete.
Test(SlowReaders, stayWithinTheBudget)
{
    constexpr uint64_t partBytes = 16 * 1024;
    constexpr uint64_t budgetBytes = 10 * (partBytes + Routing::blockedStreamBytes);
    Routing::RoutingFixture fixture(3, budgetBytes);
    std::vector<std::shared_ptr<Routing::FakeCaller>> callers;
    std::vector<std::shared_ptr<Routing::FakeAttempt>> attempts;
    for (int i = 0; i < 100; ++i) {
        callers.push_back(fixture.start(fixture.poolRequest(std::to_string(i)), false));
        attempts.push_back(fixture.channels.attempts.back());
        attempts.back()->permit();
        attempts.back()->head();
        attempts.back()->data(std::string(partBytes, 'x'));
        // Each reader counts as slow when the next stream needs memory.
        fixture.clock.advance(Streaming::slowReaderTimeout);
        cr_assert_leq(fixture.byteBudget.heldBytes(), budgetBytes);
    }
    for (int i = 0; i < 100; ++i) {
        cr_assert_eq(callers[i]->aborted, i < 90, "the ten newest streams fit into the budget");
        cr_assert_eq(attempts[i]->cancelled, i < 90);
        cr_assert_not(callers[i]->completed);
    }
    auto fast = fixture.start(fixture.poolRequest("fast"));
    fixture.channels.last().permit();
    fixture.channels.last().respond("hello");
    cr_assert(fast->completed);
}

// A stream must not be read further while its reader has not taken the last part.
Test(SlowReaders, applyBackPressureToTheTarget)
{
    Routing::RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest(), false);
    auto& attempt = fixture.channels.last();
    attempt.permit();
    attempt.head();
    bool resumed = false;
    attempt.events->data({ attempt.id(), "part" }, [&] { resumed = true; });
    cr_assert_not(resumed);
    std::exchange(caller->pending, nullptr)(true);
    cr_assert(resumed);
    cr_assert_eq(fixture.byteBudget.heldBytes(), Streaming::openStreamBytes);
    attempt.end(4);
    cr_assert(caller->completed);
    cr_assert_eq(fixture.byteBudget.heldBytes(), 0);
}

// In a burst, streams must be charged before they are opened, and streams that wait must be opened once others have
// ended.
Test(StreamBudget, opensStreamsWithinTheBudget)
{
    constexpr int callerCount = 64;
    constexpr size_t openAtOnce = 8;
    Routing::RoutingFixture fixture(3, 2 * openAtOnce * Streaming::openStreamBytes);
    std::vector<std::shared_ptr<Routing::FakeCaller>> callers;
    for (int i = 0; i < callerCount; ++i)
        callers.push_back(fixture.start(fixture.poolRequest(std::to_string(i))));
    cr_assert_eq(fixture.channels.attempts.size(), openAtOnce);
    for (size_t i = 0; i < fixture.channels.attempts.size(); ++i) {
        auto attempt = fixture.channels.attempts[i];
        attempt->permit();
        attempt->respond("hello");
        cr_assert_leq(fixture.channels.attempts.size(), i + 1 + openAtOnce);
        cr_assert_leq(fixture.byteBudget.open().load(), fixture.byteBudget.openLimitBytes());
    }
    for (auto& caller : callers)
        cr_assert(caller->completed);
    cr_assert_eq(fixture.byteBudget.heldBytes(), 0);
    cr_assert_eq(fixture.byteBudget.open().load(), 0);
}

// Requests must not wait for the budget beyond their deadline.
Test(StreamBudget, endsWaitingStreamsAtTheirDeadline)
{
    Routing::RoutingFixture fixture(3, 2 * Streaming::openStreamBytes);
    auto first = fixture.start(fixture.poolRequest("first"));
    auto second = fixture.start(fixture.poolRequest("second"));
    cr_assert_eq(fixture.channels.attempts.size(), 1);
    fixture.advance(30s);
    cr_assert(second->error.has_value());
    cr_assert(second->error->outcome == Routing::Outcome::NotRun);
    cr_assert_eq(fixture.byteBudget.heldBytes(), 0);
}
