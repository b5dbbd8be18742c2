#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

// Guards against returning a refusal to the caller while another target is free.
Test(Coordinator, triesAnotherTargetAfterARefusal)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    fixture.channels.last().refuse(RefusalKind::AtLimit);
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert(fixture.channels.attempts[0]->address != fixture.channels.attempts[1]->address);
    cr_assert(fixture.channels.attempts[0]->id() != fixture.channels.attempts[1]->id());
    fixture.channels.last().permit();
    fixture.channels.last().respond("hello");
    cr_assert(caller->completed);
    cr_assert(caller->body == "hello");
    cr_assert_eq(fixture.running.size(), 0);
}

// Guards against losing a request whose stream breaks before the body is sent.
Test(Coordinator, triesAgainWhenTheStreamBreaksBeforeTheBody)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    fixture.channels.last().breakOff();
    cr_assert_not(caller->hasEnded());
    fixture.channels.last().permit();
    fixture.channels.last().respond("hello");
    cr_assert(caller->completed);
}

// Guards against reporting any outcome other than NotRun when the key home is unreachable.
Test(Coordinator, reportsNotRunWhenTheHomeIsUnreachable)
{
    RoutingFixture fixture;
    fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.breakOff(); };
    auto caller = fixture.start(fixture.booking("k1"));
    cr_assert(caller->error);
    cr_assert(caller->error->code == ErrorCode::HomeUnreachable);
    cr_assert(caller->error->outcome == Outcome::NotRun);
    for (auto& attempt : fixture.channels.attempts)
        cr_assert(attempt->address == fixture.channels.attempts[0]->address, "only the key's home may run the call");
}

// Guards against losing a repeatable call, and against exposing a break between head and body to the caller.
Test(Coordinator, repeatsACallWhoseStreamBrokeBeforeTheFirstByte)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    fixture.channels.last().permit();
    fixture.channels.last().head();
    fixture.channels.last().breakOff();
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert_not(caller->started);
    fixture.channels.last().permit();
    fixture.channels.last().respond("hello");
    cr_assert(caller->completed);
    cr_assert(caller->body == "hello");
}

// Guards against reporting an unknown outcome at once because no other target accepts a request that was interrupted. Its
// deadline is far away, and the response can only be had from another run.
Test(Coordinator, anInterruptedRequestWaitsForATarget)
{
    for (bool isRefused : { true, false }) {
        RoutingFixture fixture(isRefused ? 3 : 1);
        auto caller = fixture.start(fixture.poolRequest());
        fixture.channels.last().permit();
        auto broken = fixture.channels.attempts.back();
        if (isRefused)
            fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.refuse(RefusalKind::AtLimit); };
        else
            fixture.members[0].replicas[0].servingDigest.clear();
        fixture.update();
        broken->breakOff();
        fixture.advance(1s);
        cr_assert_not(caller->hasEnded());
        fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
        fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.respond("hello"); };
        fixture.members[0].replicas[0].servingDigest = RoutingFixture::digest;
        fixture.update();
        fixture.advance(1s);
        cr_assert(caller->completed);
        cr_assert(caller->body == "hello");
    }
}

// Guards against a request that waits for targets and breaks them one after the other.
Test(Coordinator, anInterruptedRequestRunsAtMostThreeTimes)
{
    RoutingFixture fixture(10);
    unsigned runs = 0;
    bool isRefusing = false;
    fixture.channels.onStart = [&](FakeAttempt& attempt) { isRefusing ? attempt.refuse(RefusalKind::AtLimit) : attempt.permit(); };
    fixture.channels.onSend = [&](FakeAttempt& attempt) {
        ++runs;
        isRefusing = true;
        attempt.breakOff();
    };
    auto caller = fixture.start(fixture.poolRequest());
    for (int i = 0; i < 100 && !caller->hasEnded(); ++i) {
        isRefusing = false;
        fixture.advance(200ms);
    }
    cr_assert_eq(runs, Queries::maximumBrokenAttempts);
    cr_assert(caller->error);
    cr_assert(caller->error->outcome == Outcome::Unknown);
}

// Guards against appending a second response to a part of the first one. The response of a plain service has no tokens
// at which it could be resumed.
Test(Coordinator, abortsAServiceResponseThatBreaksAfterItsFirstByte)
{
    RoutingFixture fixture;
    auto request = fixture.booking("");
    request.repeatable = true;
    auto caller = fixture.start(std::move(request));
    fixture.channels.last().permit();
    fixture.channels.last().head();
    fixture.channels.last().data("hel");
    fixture.channels.last().breakOff();
    cr_assert(caller->aborted);
    cr_assert_not(caller->completed);
    cr_assert_eq(fixture.channels.attempts.size(), 1);
}

// Guards against forwarding frames of other attempts, duplicate heads and frames after the end.
Test(Coordinator, dropsMisroutedDuplicateAndLateFrames)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    auto& attempt = fixture.channels.last();
    attempt.permit();
    attempt.head();
    attempt.head();
    attempt.events->head({ "other", 500, {}, RoutingFixture::digest, false });
    bool resumed = false;
    attempt.events->data({ "other", "crossed" }, [&] { resumed = true; });
    cr_assert(resumed, "a dropped frame must not stop the stream");
    attempt.data("hello");
    attempt.events->ended({ "other", EndKind::Complete, 5, "", false });
    cr_assert_not(caller->completed);
    attempt.end(5);
    cr_assert(caller->completed);
    attempt.data("late");
    attempt.end(9);
    cr_assert(caller->body == "hello");
    cr_assert(fixture.metrics.serialize().find("frames_dropped_total{frame=\"data\"} 2") != std::string::npos);
}

// Guards against forwarding frames of an earlier attempt that arrive while the next one runs.
Test(Coordinator, dropsFramesOfAnEarlierAttempt)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    auto first = fixture.channels.attempts[0];
    first->permit();
    first->breakOff();
    fixture.channels.last().permit();
    first->respond("late response");
    fixture.channels.last().respond("hello");
    cr_assert(caller->completed);
    cr_assert(caller->body == "hello");
}

// Guards against treating truncated and duplicated responses as complete.
Test(Coordinator, neverCompletesAResponseOfTheWrongLength)
{
    for (uint64_t total : { 4, 6, 10 }) {
        RoutingFixture fixture;
        auto caller = fixture.start(fixture.poolRequest());
        fixture.channels.last().permit();
        fixture.channels.last().head();
        fixture.channels.last().data("hello");
        fixture.channels.last().end(total);
        cr_assert(caller->aborted);
        cr_assert_not(caller->completed);
    }
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    fixture.channels.last().permit();
    fixture.channels.last().end(0);
    cr_assert_not(caller->hasEnded(), "a response without a head is retried at another target");
}

// Guards against a response from weights other than those of the target's version (invariant I1).
Test(Coordinator, rejectsAResponseFromOtherWeights)
{
    RoutingFixture fixture;
    auto caller = fixture.start(fixture.poolRequest());
    auto first = fixture.channels.attempts[0];
    first->permit();
    first->events->head({ first->id(), 200, {}, "another digest", false });
    cr_assert(first->cancelled);
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    cr_assert_not(caller->started);
}

// Guards against a response from the base model or an adapter other than the route's, and against backoff of a target
// for all requests because it lacks one adapter.
Test(Coordinator, rejectsAResponseFromAnotherAdapter)
{
    RoutingFixture fixture;
    for (auto& member : fixture.members)
        member.replicas[0].adapters = { "a1" };
    fixture.update();
    auto request = fixture.poolRequest();
    request.adapter = "a1";
    auto caller = fixture.start(request);
    auto first = fixture.channels.attempts[0];
    cr_assert(first->admission.adapter == "a1");
    first->refuse(RefusalKind::AdapterNotLoaded);
    cr_assert_not(fixture.targets.vms().find(first->address).value()->isInBackoff(fixture.clock.now()));
    auto second = fixture.channels.attempts[1];
    second->permit();
    second->events->head({ second->id(), 200, {}, RoutingFixture::digest, false, 0, "" });
    cr_assert(second->cancelled);
    cr_assert_eq(fixture.channels.attempts.size(), 3);
    cr_assert_not(caller->started);
    fixture.channels.last().permit();
    fixture.channels.last().respond("whole");
    cr_assert(caller->completed);
}

// Guards against reporting NotRun for a call that may have run, and against running it twice.
Test(Coordinator, resolvesABrokenCallThatMayNotBeRepeated)
{
    struct Case {
        Resolution resolution;
        Outcome outcome;
        size_t attempts;
    };
    for (auto& expected : { Case { { AttemptOutcome::Unknown, 1 }, Outcome::Unknown, 1 }, Case { { AttemptOutcome::Running, 1 }, Outcome::Unknown, 1 },
             Case { { AttemptOutcome::Complete, 1 }, Outcome::Complete, 1 }, Case { { AttemptOutcome::NotRun, 2 }, Outcome::Unknown, 1 } }) {
        RoutingFixture fixture;
        fixture.channels.onResolve = [&](auto&) { return expected.resolution; };
        auto caller = fixture.start(fixture.booking("k1"));
        fixture.channels.last().permit();
        fixture.channels.last().breakOff();
        cr_assert(caller->error);
        cr_assert(caller->error->outcome == expected.outcome);
        cr_assert_eq(fixture.channels.attempts.size(), expected.attempts);
    }
    RoutingFixture fixture;
    fixture.channels.onResolve = [](auto&) { return Resolution { AttemptOutcome::NotRun, 1 }; };
    auto caller = fixture.start(fixture.booking("k1"));
    fixture.channels.last().permit();
    fixture.channels.last().breakOff();
    cr_assert_not(caller->hasEnded(), "the permit was revoked, so the call is sent to its home again");
    cr_assert(fixture.channels.attempts[0]->address == fixture.channels.attempts[1]->address);
}

// Guards against reporting an unknown outcome because the agent was silent when it was asked first, and against asking the
// agent of a VM that is gone until the deadline.
Test(Coordinator, asksAgainForTheOutcomeOfACall)
{
    for (bool isGone : { false, true }) {
        RoutingFixture fixture;
        unsigned questions = 0;
        fixture.channels.onResolve = [&](auto&) { return ++questions < 3 ? Resolution {} : Resolution { AttemptOutcome::Complete, 1 }; };
        auto caller = fixture.start(fixture.booking("k1"));
        fixture.channels.last().permit();
        fixture.channels.last().breakOff();
        cr_assert_not(caller->hasEnded());
        if (isGone) {
            for (auto& member : fixture.members)
                member.status = Membership::Status::Dead;
            fixture.update();
        }
        fixture.advance(1s);
        fixture.advance(1s);
        cr_assert(caller->error);
        cr_assert_eq(questions, isGone ? 2 : 3);
        cr_assert(caller->error->outcome == (isGone ? Outcome::Unknown : Outcome::Complete));
        cr_assert_eq(fixture.channels.attempts.size(), 1);
    }
}

// Guards against a call whose outcome stays open for longer than its deadline, or is then reported as NotRun.
Test(Coordinator, reportsAnUnknownOutcomeIfTheAgentStaysSilent)
{
    RoutingFixture fixture;
    fixture.channels.onResolve = [](auto&) { return Resolution {}; };
    auto caller = fixture.start(fixture.booking("k1"));
    fixture.channels.last().permit();
    fixture.channels.last().breakOff();
    for (int i = 0; i < 29; ++i)
        fixture.advance(1s);
    cr_assert_not(caller->hasEnded());
    fixture.advance(1s);
    cr_assert(caller->error);
    cr_assert(caller->error->code == ErrorCode::OutcomeUnknown);
    cr_assert(caller->error->outcome == Outcome::Unknown);
}

// Guards against reporting NotRun at the deadline for a call that may have run.
Test(Coordinator, reportsTheOutcomeAtTheDeadline)
{
    RoutingFixture fixture;
    auto waiting = fixture.start(fixture.booking("k1"));
    auto sent = fixture.start(fixture.booking("k2"));
    fixture.channels.attempts[1]->permit();
    fixture.advance(31s);
    cr_assert(waiting->error->code == ErrorCode::DeadlineExceeded);
    cr_assert(waiting->error->outcome == Outcome::NotRun);
    cr_assert(fixture.channels.attempts[0]->cancelled);
    cr_assert(sent->error->outcome == Outcome::Unknown);
    fixture.channels.attempts[0]->permit();
    cr_assert_not(fixture.channels.attempts[0]->sent, "a permit after the deadline must not be used");
}

// Guards against sending the body after NotRun was reported to the caller. Under random faults, a non-repeatable call
// must run at most once, and must not have run if NotRun is reported.
Test(Coordinator, runsACallAtMostOnceUnderBrokenStreams)
{
    RoutingFixture fixture(5, 64 * 1024 * 1024, 4711);
    std::map<std::string, unsigned> runs;
    std::map<std::string, AttemptOutcome> outcomes;
    fixture.channels.onStart = [&](FakeAttempt& attempt) {
        auto dice = fixture.random.nextBelow(10);
        if (dice == 0)
            return attempt.breakOff();
        if (dice == 1)
            return attempt.refuse(RefusalKind::AtLimit);
        attempt.permit();
    };
    fixture.channels.onSend = [&](FakeAttempt& attempt) {
        auto dice = fixture.random.nextBelow(10);
        outcomes[attempt.id()] = dice < 2 ? AttemptOutcome::NotRun : AttemptOutcome::Unknown;
        if (dice >= 2)
            ++runs[attempt.admission.key];
        if (dice < 6)
            return attempt.breakOff();
        attempt.respond("booked");
    };
    fixture.channels.onResolve = [&](const std::string& id) { return fixture.random.nextBelow(3) ? Resolution { outcomes[id], 1 } : Resolution {}; };
    unsigned notRun = 0;
    unsigned unknown = 0;
    for (int i = 0; i < 2000; ++i) {
        auto key = "key-" + std::to_string(i);
        auto caller = fixture.start(fixture.booking(key));
        // An agent that does not report the outcome is asked again.
        for (int question = 0; question < 30 && !caller->hasEnded(); ++question)
            fixture.advance(500ms);
        cr_assert(caller->hasEnded());
        cr_assert_leq(runs[key], 1);
        cr_assert(!caller->completed || runs[key] == 1);
        bool saidNotRun = caller->error && caller->error->outcome == Outcome::NotRun;
        cr_assert(!saidNotRun || runs[key] == 0);
        notRun += saidNotRun;
        unknown += caller->error && caller->error->outcome == Outcome::Unknown;
    }
    cr_assert_gt(notRun, 0);
    cr_assert_gt(unknown, 0);
}

// Guards against retries that multiply the traffic while all targets fail.
Test(Coordinator, limitsRetriesToTheBudget)
{
    RoutingFixture fixture(10);
    fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.permit(); };
    fixture.channels.onSend = [](FakeAttempt& attempt) { attempt.breakOff(); };
    constexpr size_t requests = 5000;
    for (size_t i = 0; i < requests; ++i) {
        auto caller = fixture.start(fixture.poolRequest(std::to_string(i)));
        cr_assert(caller->error);
        cr_assert(caller->error->outcome == Outcome::Unknown);
    }
    cr_assert_leq(fixture.channels.attempts.size(), requests + requests / RetryBudget::requestsPerRetry + RetryBudget::burstRetries);
    fixture.channels.attempts.clear();
    fixture.channels.onStart = [](FakeAttempt& attempt) { attempt.refuse(RefusalKind::AtLimit); };
    for (size_t i = 0; i < requests; ++i)
        fixture.start(fixture.poolRequest(std::to_string(i)));
    cr_assert_leq(fixture.channels.attempts.size(), requests * Queries::freeLoadRefusals + requests / RetryBudget::requestsPerRetry + RetryBudget::burstRetries);
}

// Guards against exhausting the router's memory while many large requests wait for slow targets.
Test(Coordinator, boundsTheBytesOfRequestsInFlight)
{
    RoutingFixture fixture(3, 1000);
    auto first = fixture.start(fixture.poolRequest(std::string(600, 'a')));
    auto second = fixture.start(fixture.poolRequest(std::string(600, 'b')));
    cr_assert_not(first->hasEnded());
    cr_assert(second->error);
    cr_assert(second->error->code == ErrorCode::AtLimit);
    cr_assert(second->error->outcome == Outcome::NotRun);
    fixture.advance(31s);
    cr_assert_eq(fixture.requestBudget.heldBytes(), 0);
    cr_assert_not(fixture.start(fixture.poolRequest(std::string(600, 'b')))->hasEnded());
}

// Guards against losing a hazard message because all targets are briefly at their limits.
Test(Coordinator, retriesAHazardMessageUntilATargetIsFree)
{
    RoutingFixture fixture(1);
    auto request = fixture.poolRequest();
    request.priorityClass = DesiredState::PriorityClass::Hazard;
    auto caller = fixture.start(std::move(request));
    fixture.channels.last().refuse(RefusalKind::AtLimit);
    cr_assert_not(caller->hasEnded());
    fixture.advance(60ms);
    cr_assert_eq(fixture.channels.attempts.size(), 2);
    fixture.channels.last().permit();
    fixture.channels.last().respond("ice on the bridge");
    cr_assert(caller->completed);
    auto summary = fixture.start(fixture.poolRequest());
    fixture.channels.last().refuse(RefusalKind::AtLimit);
    cr_assert(summary->error);
    cr_assert(summary->error->code == ErrorCode::NoTarget || summary->error->code == ErrorCode::AtLimit);
    cr_assert(summary->error->outcome == Outcome::NotRun);
}

// Guards against an attempt that continues after its caller has disconnected, and against cancelling a non-repeatable
// call while it runs.
Test(Coordinator, cancelsOnlyRepeatableCallsWhenTheCallerDisconnects)
{
    RoutingFixture fixture;
    auto repeatable = fixture.poolRequest();
    auto booking = fixture.booking("k1");
    auto repeatableId = repeatable.id;
    auto bookingId = booking.id;
    fixture.start(std::move(repeatable));
    fixture.channels.last().permit();
    (*fixture.running.find(repeatableId))->callerDisconnected();
    cr_assert(fixture.channels.attempts[0]->cancelled);
    fixture.start(std::move(booking));
    fixture.channels.last().permit();
    (*fixture.running.find(bookingId))->callerDisconnected();
    cr_assert_not(fixture.channels.attempts[1]->cancelled);
    fixture.channels.last().respond("booked");
    cr_assert_eq(fixture.running.size(), 0);
}
