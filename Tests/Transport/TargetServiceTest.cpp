#include "Transport/TargetFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Testing;
using namespace std::chrono_literals;

// Guards against an answer that is lost, cut or credited to another attempt.
Test(TargetService, runsAPermittedRequestAndStreamsItsAnswer)
{
    TargetFixture fixture;
    fixture.target->answerWith({ 201, { { "X-Booking", "7" } }, std::string(200000, 'a') });
    RouterCall call(fixture);
    auto permit = call.admit(RouterCall::makeAdmit("attempt-1", "", 5));
    cr_assert(permit.has_permit());
    call.sendBody(permit.permit().permit_id(), "hello");
    cr_assert(call.readAnswer() == std::string(200000, 'a') + "hello");
    cr_assert_eq(call.head.status(), 201);
    cr_assert(call.head.attempt_id() == "attempt-1");
    cr_assert_eq(call.end.end().status(), protocol::END_STATUS_COMPLETE);
    cr_assert_eq(call.end.end().total_bytes(), 200005);
    cr_assert_eq(call.end.load().running(), 0);
}

// Guards against a router that pauses in mid-send and causes a run after its permit expired.
Test(TargetService, doesNotRunABodyThatComesAfterThePermitExpired)
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

// Guards against 'not run' being told of an attempt that ran, and against a run after that answer.
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
    used.readAnswer();
    cr_assert_eq(resolve("used", permit.permit_id(), permit.agent_incarnation()), protocol::ATTEMPT_OUTCOME_COMPLETE);
    cr_assert_eq(resolve("used", permit.permit_id(), 99), protocol::ATTEMPT_OUTCOME_UNKNOWN);
    cr_assert_eq(resolve("forgotten", "some-permit", permit.agent_incarnation()), protocol::ATTEMPT_OUTCOME_UNKNOWN);
    cr_assert_eq(fixture.target->requests(), 1);
}
