#include "Transport/TargetFixture.h"

#include <criterion/criterion.h>
#include <thread>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

// Guards against a response that is lost, truncated or attributed to another attempt.
Test(TargetService, runsAPermittedRequestAndStreamsItsResponse)
{
    TargetFixture fixture;
    fixture.target->respondWith({ 201, { { "X-Booking", "7" } }, std::string(200000, 'a') });
    RouterCall call(fixture);
    auto permit = call.admit(RouterCall::makeAdmit("attempt-1", "", 5));
    cr_assert(permit.has_permit());
    call.sendBody(permit.permit().permit_id(), "hello");
    cr_assert(call.readResponse() == std::string(200000, 'a') + "hello");
    cr_assert_eq(call.head.status(), 201);
    cr_assert(call.head.attempt_id() == "attempt-1");
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_COMPLETE);
    cr_assert_eq(call.end.end().total_bytes(), 200005);
    cr_assert_eq(call.end.load().running(), 0);
}

// Guards against running a request whose router paused while sending it, until after the permit expired.
Test(TargetService, doesNotRunABodyThatArrivesAfterThePermitExpired)
{
    TargetFixture fixture;
    RouterCall call(fixture);
    auto permit = call.admit(RouterCall::makeAdmit("attempt-1", "", 5));
    fixture.clock.advance(2s);
    call.sendBody(permit.permit().permit_id(), "hello");
    auto refused = call.read();
    cr_assert_eq(refused.refusal().reason(), protocol::REFUSAL_REASON_PERMIT_EXPIRED);
    cr_assert_eq(fixture.target->requests(), 0);
}

// Guards against reporting 'not run' for an attempt that ran, and against running it after that report.
Test(TargetService, resolvesAttempts)
{
    TargetFixture fixture;
    auto resolve = [&](const std::string& attempt, const std::string& permit, uint64_t incarnation) {
        grpc::ClientContext context;
        protocol::ResolveAttemptRequest request;
        request.set_attempt_id(attempt);
        request.set_permit_id(permit);
        request.set_agent_incarnation(incarnation);
        protocol::ResolveAttemptResponse response;
        cr_assert(fixture.stub->ResolveAttempt(&context, request, &response).ok());
        return response.outcome();
    };
    RouterCall unused(fixture);
    auto permit = unused.admit(RouterCall::makeAdmit("unused", "", 5)).permit();
    cr_assert_eq(resolve("unused", permit.permit_id(), permit.agent_incarnation()), protocol::ATTEMPT_OUTCOME_NOT_RUN);
    unused.sendBody(permit.permit_id(), "hello");
    cr_assert(unused.read().has_refusal());
    RouterCall used(fixture);
    permit = used.admit(RouterCall::makeAdmit("used", "", 5)).permit();
    used.sendBody(permit.permit_id(), "hello");
    used.readResponse();
    cr_assert_eq(resolve("used", permit.permit_id(), permit.agent_incarnation()), protocol::ATTEMPT_OUTCOME_COMPLETE);
    cr_assert_eq(resolve("used", permit.permit_id(), 99), protocol::ATTEMPT_OUTCOME_UNKNOWN);
    cr_assert_eq(resolve("forgotten", "some-permit", permit.agent_incarnation()), protocol::ATTEMPT_OUTCOME_UNKNOWN);
    cr_assert_eq(fixture.target->requests(), 1);
}

// Guards against running a call twice when it is resent through another router, while it runs or after it completed.
Test(TargetService, runsANonRepeatableCallOnce)
{
    TargetFixture fixture;
    fixture.clock.advance(601s);
    fixture.target->respondWith({ 201, { { "X-Booking", "7" } }, "booked " });
    fixture.target->hold(true);
    auto first = std::make_unique<RouterCall>(fixture);
    auto permit = first->admit(RouterCall::makeAdmit("first", "key", 5));
    first->sendBody(permit.permit().permit_id(), "hello");
    fixture.target->waitForRequests(1);
    RouterCall early(fixture);
    cr_assert_eq(early.admit(RouterCall::makeAdmit("early", "key", 5)).refusal().reason(), protocol::REFUSAL_REASON_KEY_RUNNING);
    // The first router disconnects, and the call continues to run.
    first->cancel();
    fixture.target->hold(false);
    while (fixture.context->load().running)
        std::this_thread::sleep_for(1ms);
    RouterCall late(fixture);
    auto replayed = late.admit(RouterCall::makeAdmit("late", "key", 5));
    cr_assert(replayed.head().replayed());
    cr_assert_eq(replayed.head().status(), 201);
    cr_assert(late.readResponse() == "booked hello");
    cr_assert_eq(late.end.end().status(), protocol::END_STATUS_COMPLETE);
    cr_assert_eq(fixture.target->requests(), 1);
}

// Guards against running a call twice because the agent that ran it restarted and lost its record.
Test(TargetService, refusesKeysOfEarlierCallsAfterARestart)
{
    TargetFixture restarted(2);
    RouterCall call(restarted);
    cr_assert_eq(call.admit(RouterCall::makeAdmit("a", "opaque", 5)).refusal().reason(), protocol::REFUSAL_REASON_KEY_NOT_VOUCHED);
    RouterCall old(restarted);
    cr_assert_eq(old.admit(RouterCall::makeAdmit("b", "00000000-0001-7abc-8def-0123456789ab", 5)).refusal().reason(), protocol::REFUSAL_REASON_KEY_NOT_VOUCHED);
    cr_assert_eq(restarted.target->requests(), 0);
}

// Guards against reporting the outcome of a call as unknown although the target was never reached.
Test(TargetService, reportsThatTheTargetWasNotReached)
{
    TargetFixture fixture;
    fixture.targetServer.stop();
    RouterCall call(fixture);
    auto permit = call.admit(RouterCall::makeAdmit("a", "", 5));
    call.sendBody(permit.permit().permit_id(), "hello");
    call.readResponse();
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_NOT_RUN);
}

// Guards against a request that waits for a slot indefinitely, and against a slot that stays reserved for a router
// that disconnected.
Test(TargetService, grantsAReleasedSlotToTheNextWaitingRequest)
{
    TargetFixture fixture;
    fixture.context->state.permits.occupancy.setLimit(1);
    auto first = std::make_unique<RouterCall>(fixture);
    cr_assert(first->admit(RouterCall::makeAdmit("first", "", 5)).has_permit());
    RouterCall second(fixture);
    std::thread waiting([&] { cr_assert(second.admit(RouterCall::makeAdmit("second", "", 5)).has_permit()); });
    while (!fixture.context->load().queued)
        std::this_thread::sleep_for(1ms);
    first->cancel();
    waiting.join();
    cr_assert_eq(fixture.context->load().running, 1);
}

// Guards against buffering a response in the agent's memory while its reader is slow: backpressure must reach the
// target, so that no more is read from it than the kernel's socket buffers and one part per hop can hold.
Test(TargetService, appliesBackpressureForASlowReader)
{
    TargetFixture fixture;
    constexpr unsigned parts = 1024;
    constexpr size_t largestSocketBuffers = 16 * 1024 * 1024;
    fixture.target->respondInParts(parts);
    RouterCall call(fixture);
    auto permit = call.admit(RouterCall::makeAdmit("a", "", 5));
    call.sendBody(permit.permit().permit_id(), "hello");
    cr_assert(call.read().has_head());
    size_t acceptedBefore = 0;
    // Ends when the target makes no progress; without backpressure the target would send the whole response.
    do {
        acceptedBefore = fixture.target->acceptedBytes();
        std::this_thread::sleep_for(300ms);
    } while (fixture.target->acceptedBytes() != acceptedBefore);
    cr_assert_leq(acceptedBefore, largestSocketBuffers);
    cr_assert_eq(fixture.context->load().running, 1);
    cr_assert_eq(call.readResponse().size(), parts * ScriptedTarget::partBytes);
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_COMPLETE);
}
