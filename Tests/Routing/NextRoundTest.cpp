#include "Routing/Queries/DelayNextRound.h"
#include "Routing/Queries/DescribeFailure.h"
#include "Routing/Queries/MakeRetryInput.h"
#include "Routing/Queries/SelectNextTarget.h"
#include "Routing/RoutingFixture.h"

#include <criterion/criterion.h>

using namespace Lavenderloft;
using namespace Lavenderloft::Routing;
using namespace std::chrono_literals;

namespace {

Queries::Selection selectNext(RoutingFixture& fixture, const AttemptHistory& history, const ResponseProgress& response = {})
{
    return Queries::selectNextTarget(fixture.targets, fixture.poolRequest(), history, response, fixture.policy, fixture.random, fixture.clock.now());
}

AttemptFailure failureOf(Queries::FailureKind kind)
{
    return { kind, { ErrorCode::AtLimit, "the target is at its limit", "retry", Outcome::NotRun, 50ms } };
}

} // namespace

// Guards against a request that fails although the only target that did not refuse it could be tried again.
Test(NextTarget, aTargetWhoseStreamBrokeIsTriedAgainAfterAllOthers)
{
    RoutingFixture fixture(2);
    auto targets = *fixture.targets.pools().find("pool").value();
    AttemptHistory history;
    history.round.tried = targets;
    history.round.refused = { targets.front() };
    cr_assert_eq(selectNext(fixture, history).target, targets.back());
    history.round.refused = targets;
    cr_assert_null(selectNext(fixture, history).target.get());
}

// Guards against a response that continues at the target whose stream broke, or from different weights (invariant I1).
Test(NextTarget, aStartedResponseWaitsForAnotherTargetWithItsWeights)
{
    RoutingFixture fixture(2);
    auto targets = *fixture.targets.pools().find("pool").value();
    ResponseProgress response;
    response.isStarted = true;
    response.head.weightsDigest = RoutingFixture::digest;
    AttemptHistory history;
    history.round.tried = { targets.front() };
    cr_assert_eq(selectNext(fixture, history, response).target, targets.back());
    history.round.tried = targets;
    cr_assert_null(selectNext(fixture, history, response).target.get());
    history.round.tried.clear();
    response.head.weightsDigest = "other";
    cr_assert_null(selectNext(fixture, history, response).target.get());
}

// Guards against requests that wait when they should fail at once, and against a wait that outlasts the deadline or the
// caller.
Test(NextRound, onlyHazardMessagesAndStartedResponsesWait)
{
    RoutingFixture fixture;
    auto request = fixture.poolRequest();
    auto now = fixture.clock.now();
    cr_assert_not(Queries::delayNextRound(request, false, false, now).has_value());
    cr_assert(Queries::delayNextRound(request, true, false, now) == std::optional<Base::Duration>(200ms));
    request.priorityClass = DesiredState::PriorityClass::Hazard;
    cr_assert(Queries::delayNextRound(request, false, false, now) == std::optional<Base::Duration>(50ms));
    cr_assert_not(Queries::delayNextRound(request, false, true, now).has_value());
    cr_assert_not(Queries::delayNextRound(request, false, false, request.deadline - 50ms).has_value());
}

// Guards against repeating a request whose caller has disconnected, and against counts of an earlier round that limit
// the next one.
Test(RetryInput, isMadeFromTheHistoryOfTheRound)
{
    RoutingFixture fixture;
    auto request = fixture.poolRequest();
    AttemptHistory history;
    history.round.attempts = 3;
    history.round.brokenAttempts = 2;
    history.round.loadRefusals = 1;
    history.resumes = 1;
    history.mayHaveRun = true;
    auto input = Queries::makeRetryInput(Queries::FailureKind::NotRun, request, history, {}, false);
    cr_assert_eq(input.failure, Queries::FailureKind::NotRun);
    cr_assert(input.repeatable);
    cr_assert_not(input.responseStarted);
    cr_assert_eq(input.attempts, 3);
    cr_assert_eq(input.brokenAttempts, 2);
    cr_assert_eq(input.loadRefusals, 1);
    history.round = {};
    input = Queries::makeRetryInput(Queries::FailureKind::NotRun, request, history, {}, true);
    cr_assert_not(input.repeatable);
    cr_assert_eq(input.attempts, 0);
    cr_assert_eq(input.resumes, 1);
    cr_assert(input.mayHaveRun);
}

// Guards against an error that hides the reason when the retry budget is exhausted.
Test(DeniedRetry, anOverloadedTargetIsReportedAsSuch)
{
    cr_assert_eq(Queries::deniedRetryError(failureOf(Queries::FailureKind::RefusedForLoad)).code, ErrorCode::AtLimit);
    auto error = Queries::deniedRetryError(failureOf(Queries::FailureKind::NotRun));
    cr_assert_eq(error.code, ErrorCode::RetryBudgetSpent);
    cr_assert_neq(error.message.find("the target is at its limit"), std::string::npos);
}
