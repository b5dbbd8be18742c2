#include "Admission/AdmissionFixture.h"

#include "Admission/Commands/QueueRequest.h"
#include "Admission/Queries/CurrentLimit.h"
#include "Admission/Queries/QueueStatistics.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Admission;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

namespace {

// The limit of a warm engine.
struct LimitFixture {
    LimitFixture()
    {
        Commands::configureLimit(state, { 2, 16, 1000ms });
        observe({ true, 1, "digest", true, true });
    }

    void observe(const EngineCondition& condition) { Commands::observeEngine(state, condition, clock.now()); }

    void passWindow(unsigned completions, Base::Duration serviceTime)
    {
        for (unsigned i = 0; i < completions; ++i)
            Commands::observeCompletion(state, serviceTime);
        clock.advance(1s);
        Commands::closeWindow(state, clock.now());
    }

    void warmUp()
    {
        while (limit() < 16)
            passWindow(limit(), 100ms);
        passWindow(16, 100ms);
    }

    unsigned limit() const { return Queries::currentLimit(state); }

    Base::ManualClock clock;
    LimitState state;
};

} // namespace

// Guards against sending full load to a target that has just started.
Test(Limit, doublesOnlyAfterWindowsWithEnoughCompletions)
{
    LimitFixture fixture;
    cr_assert_eq(fixture.limit(), 2);
    fixture.passWindow(1, 100ms);
    cr_assert_eq(fixture.limit(), 2);
    fixture.passWindow(2, 100ms);
    cr_assert_eq(fixture.limit(), 4);
    fixture.observe({ true, 1, "digest", true, false });
    cr_assert_eq(fixture.limit(), 2);
    fixture.passWindow(10, 100ms);
    cr_assert_eq(fixture.limit(), 2);
    fixture.observe({ true, 1, "digest", true, true });
    fixture.warmUp();
    cr_assert_eq(fixture.limit(), 16);
}

// Guards against keeping the limit of an engine that has restarted, become cold, loaded different weights or slowed
// down.
Test(Limit, resetsWhenTheEngineChanges)
{
    LimitFixture fixture;
    fixture.warmUp();
    fixture.observe({ true, 2, "digest", true, true });
    cr_assert_eq(fixture.limit(), 2);
    fixture.warmUp();
    fixture.observe({ true, 2, "digest", true, false });
    cr_assert_eq(fixture.limit(), 2);
    fixture.observe({ true, 2, "digest", true, true });
    fixture.warmUp();
    fixture.observe({ true, 2, "other", false, false });
    cr_assert_eq(fixture.limit(), 0);
    fixture.observe({ true, 2, "digest", true, true });
    cr_assert_eq(fixture.limit(), 2);
    fixture.warmUp();
    fixture.passWindow(16, 390ms);
    cr_assert_eq(fixture.limit(), 16);
    fixture.passWindow(16, 2s);
    cr_assert_eq(fixture.limit(), 2);
}

// Guards against sending requests to an engine that has just broken off one, and against losing the limit if the next
// poll succeeds.
Test(Limit, waitsForAPollAfterAFailure)
{
    LimitFixture fixture;
    fixture.warmUp();
    Commands::suspectEngine(fixture.state);
    cr_assert_eq(fixture.limit(), 0);
    fixture.observe({ false, 1, "digest", true, true });
    cr_assert_eq(fixture.limit(), 0);
    fixture.observe({ true, 1, "digest", true, true });
    cr_assert_eq(fixture.limit(), 16);
}

// Guards against a warm engine that is taken for a cold one because it did not answer two polls: its limit fell to that of
// an engine that has just started.
Test(Limit, isKeptWhileTheEngineDoesNotAnswer)
{
    const EngineCondition silent { false, 1, "digest", false, false };
    const std::vector<std::pair<EngineCondition, unsigned>> returns {
        { { true, 1, "digest", true, true }, 16 },
        { { true, 1, "digest", true, false }, 2 },
        { { true, 2, "digest", true, true }, 2 },
        { { true, 1, "other", true, true }, 2 },
        { { true, 1, "digest", false, true }, 0 },
    };
    for (auto& [condition, limit] : returns) {
        LimitFixture fixture;
        fixture.warmUp();
        fixture.observe(silent);
        cr_assert_eq(fixture.limit(), 0);
        fixture.clock.advance(2s);
        Commands::closeWindow(fixture.state, fixture.clock.now());
        cr_assert_eq(fixture.limit(), 0);
        fixture.observe(condition);
        cr_assert_eq(fixture.limit(), limit);
    }
}

// Guards against filling the engine's memory with request bodies.
Test(Limit, reservesPartOfTheEnginesMemory)
{
    cr_assert_eq(Queries::requestByteLimit(1000, 100), 800);
    cr_assert_eq(Queries::requestByteLimit(1000, 950), 0);
    cr_assert_gt(Queries::requestByteLimit(0, 0), 0);
}

namespace {

// A target without slots. `grant` adds one slot at a time.
struct QueueFixture : AdmissionFixture {
    QueueFixture() { state.permits.occupancy.setLimit(0); }

    std::shared_ptr<RecordingWaiter> wait(const std::string& name, const std::string& organisation, DesiredState::PriorityClass priorityClass, uint64_t resumeFromToken = 0)
    {
        auto request = makeRequest(name + "-" + std::to_string(m_next++));
        request.resumeFromToken = resumeFromToken;
        request.organisation = organisation;
        request.priorityClass = priorityClass;
        request.bodyBytes = 0;
        auto waiter = std::make_shared<RecordingWaiter>(name, grants);
        auto result = admit(request, waiter);
        if (auto* refusal = std::get_if<Refusal>(&result))
            waiter->refused(*refusal);
        return waiter;
    }

    void grant(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            state.permits.occupancy.setLimit(state.permits.occupancy.usage().limit + 1);
            Commands::grantWaiting(state, clock, random);
        }
    }

    long count(const std::string& name) const { return std::count(grants.begin(), grants.end(), name); }

private:
    int m_next = 0;
};

constexpr auto hazard = DesiredState::PriorityClass::Hazard;
constexpr auto interactive = DesiredState::PriorityClass::Interactive;
constexpr auto summary = DesiredState::PriorityClass::Summary;

} // namespace

// Guards against serving summaries before hazard messages, and against starvation of a class.
Test(Queue, prefersHigherClassesAndStarvesNone)
{
    QueueFixture fixture;
    for (int i = 0; i < 100; ++i) {
        fixture.wait("summary", "small", summary);
        fixture.wait("hazard", "small", hazard);
    }
    fixture.grant(10);
    cr_assert_eq(fixture.count("hazard"), 10);
    fixture.grant(90);
    cr_assert_eq(fixture.count("summary"), 5);
}

// Guards against an organisation that exceeds its share while others wait, and against idle capacity.
Test(Queue, dividesByShareAndUsesIdleCapacity)
{
    QueueFixture fixture;
    for (int i = 0; i < 80; ++i)
        fixture.wait("large", "large", interactive);
    for (int i = 0; i < 20; ++i)
        fixture.wait("small", "small", interactive);
    fixture.grant(40);
    cr_assert_geq(fixture.count("small"), 9);
    cr_assert_leq(fixture.count("small"), 11);
    fixture.grant(60);
    cr_assert_eq(fixture.count("large"), 80);
}

// Guards against an unbounded queue, and against refusing a hazard message because the queue is full of summaries.
Test(Queue, shedsTheLowestClassWhenFull)
{
    QueueFixture fixture;
    fixture.state.queue.maximumRequests = 2;
    auto first = fixture.wait("summary", "small", summary);
    auto second = fixture.wait("summary", "small", summary);
    auto urgent = fixture.wait("hazard", "small", hazard);
    cr_assert_not(first->refusal.has_value());
    cr_assert(second->refusal.has_value());
    cr_assert_not(urgent->refusal.has_value());
    auto third = fixture.wait("summary", "small", summary);
    cr_assert(third->refusal->kind == RefusalReason::AtLimit);
    cr_assert_eq(Queries::queueStatistics(fixture.state.queue).requests, 2);
}

// Guards against refusing requests of a lower class although the incoming one does not fit even without them.
Test(Queue, shedsNothingForARequestThatStaysRefused)
{
    QueueFixture fixture;
    fixture.state.queue.maximumBytes = 100;
    auto wait = [&](const std::string& name, DesiredState::PriorityClass priorityClass, uint64_t bytes) {
        auto request = fixture.makeRequest(name);
        request.priorityClass = priorityClass;
        request.bodyBytes = bytes;
        auto waiter = std::make_shared<RecordingWaiter>(name, fixture.grants);
        auto result = fixture.admit(request, waiter);
        if (auto* refusal = std::get_if<Refusal>(&result))
            waiter->refused(*refusal);
        return waiter;
    };
    auto low = wait("low", summary, 20);
    auto high = wait("high", interactive, 70);
    cr_assert(wait("incoming", interactive, 40)->refusal.has_value());
    cr_assert_not(low->refusal.has_value());
    cr_assert_not(wait("fitting", interactive, 30)->refusal.has_value());
    cr_assert(low->refusal.has_value());
    cr_assert_not(high->refusal.has_value());
}

// Guards against a response that has begun and waits behind requests that have not, until its caller's deadline.
Test(Queue, servesResumedResponsesFirst)
{
    QueueFixture fixture;
    fixture.wait("new", "small", interactive);
    fixture.wait("new", "small", interactive);
    fixture.wait("resumed 1", "small", interactive, 5);
    fixture.wait("resumed 2", "small", interactive, 3);
    fixture.wait("hazard", "small", hazard);
    fixture.grant(4);
    std::vector<std::string> expected { "hazard", "resumed 1", "resumed 2", "new" };
    cr_assert(fixture.grants == expected);
}

// Guards against refusing a response that has begun because the queue is full of requests that have not.
Test(Queue, displacesANewRequestByAResumedResponse)
{
    QueueFixture fixture;
    fixture.state.queue.maximumRequests = 2;
    auto first = fixture.wait("new", "small", interactive);
    auto second = fixture.wait("new", "small", interactive);
    auto resumed = fixture.wait("resumed", "large", interactive, 5);
    cr_assert_not(first->refusal.has_value());
    cr_assert(second->refusal.has_value());
    cr_assert_not(resumed->refusal.has_value());
    auto another = fixture.wait("resumed", "large", interactive, 5);
    cr_assert(first->refusal.has_value());
    cr_assert(fixture.wait("resumed", "large", interactive, 5)->refusal.has_value());
    cr_assert_not(resumed->refusal.has_value());
    cr_assert_not(another->refusal.has_value());
}

// Guards against keeping a request in the queue after its deadline or after the router has withdrawn it.
Test(Queue, removesExpiredAndWithdrawnRequests)
{
    QueueFixture fixture;
    auto request = fixture.makeRequest("deadline");
    request.deadline = 300ms;
    auto overdue = std::make_shared<RecordingWaiter>("deadline", fixture.grants);
    fixture.admit(request, overdue);
    auto left = fixture.makeRequest("left");
    fixture.admit(left);
    Commands::withdrawAttempt(fixture.state, left, fixture.clock);
    fixture.clock.advance(300ms);
    Commands::expireRecords(fixture.state, 10s, fixture.clock);
    cr_assert(overdue->refusal->kind == RefusalReason::AtLimit);
    cr_assert_eq(Queries::queueStatistics(fixture.state.queue).requests, 0);
    fixture.grant(2);
    cr_assert(fixture.grants.empty());
}
