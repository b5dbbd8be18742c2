#include "Routing/AttemptSequence.h"

#include "Routing/Commands/AdvanceStream.h"
#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/Queries/DelayNextRound.h"
#include "Routing/Queries/DescribeFailure.h"
#include "Routing/Queries/FindQuarantine.h"
#include "Routing/Queries/MakeAdmissionRequest.h"
#include "Routing/Queries/MakeRetryInput.h"
#include "Routing/Queries/SelectNextTarget.h"

namespace Lavenderloft::Routing {

using Queries::FailureKind;
using Queries::RetryDecision;
using namespace std::chrono_literals;

namespace {

    // Delay before a response interrupted by an engine crash is resumed. A request that crashes its engine before
    // the first token is retried at once; if the interrupted requests ran next to it again, a second crash could
    // not tell them apart.
    constexpr auto crashRetryDelay = 1000ms;

    // Delay before a retry that the budget did not allow is tried again.
    constexpr auto retryBudgetInterval = 200ms;

    // Time for the agent to report an outcome, and delay before it is asked again.
    constexpr Base::Duration resolveTimeout = 2s;
    constexpr auto resolveInterval = 500ms;

} // namespace

AttemptSequence::AttemptSequence(RoutingContext& context, const LiveRequest& request, const RequestLog& log, RequestState& state, RequestEnding& ending, AttemptOwner& owner)
    : m_context(context)
    , m_request(request)
    , m_log(log)
    , m_state(state)
    , m_ending(ending)
    , m_owner(owner)
{
}

void AttemptSequence::begin(Lock lock)
{
    if (m_state.hasEnded())
        return;
    auto now = m_context.clock.now();
    if (now >= m_request.deadline)
        return m_ending.fail(std::move(lock), Queries::deadlineError("the deadline passed before a target accepted the request"));
    if (auto failure = std::exchange(m_state.history.unchargedFailure, std::nullopt))
        return retry(std::move(lock), *failure, true);
    if (auto status = Queries::findQuarantine(m_context.quarantine, m_request.fingerprint, now); status.state != QuarantineState::Free)
        return failQuarantined(std::move(lock), status);
    auto selection = Queries::selectNextTarget(m_context.targets, m_request, m_state.history, m_state.response, m_context.policy, m_context.random, now);
    if (!selection.target)
        return retryLaterOrFail(std::move(lock), Queries::noTargetError(m_request, selection.reason));
    open(std::move(lock), std::move(selection.target), selection.reason);
}

void AttemptSequence::failQuarantined(Lock lock, const QuarantineStatus& status)
{
    bool isPending = status.state == QuarantineState::Pending;
    m_log.quarantined(isPending);
    if (isPending && m_state.response.isStarted)
        return scheduleAttempt(std::move(lock), status.pendingFor, "crash reports of other routers are not complete");
    m_ending.fail(std::move(lock), Queries::quarantineError(status));
}

void AttemptSequence::open(Lock lock, std::shared_ptr<Target> target, std::string_view reason)
{
    m_state.phase = Phase::Admitting;
    ++m_state.history.round.attempts;
    m_state.history.round.tried.push_back(target);
    auto attemptId = m_context.random.nextIdentifier();
    // The response must come from the weights that this target serves. A resumed one must come from the same
    // weights as its first part.
    auto weightsDigest = m_state.response.isStarted ? m_state.response.head.weightsDigest : target->servingDigest();
    ResponseMatcher matcher(attemptId, weightsDigest, m_request.adapter);
    auto admission = Queries::makeAdmissionRequest(m_request, attemptId, weightsDigest, m_context.clock.now());
    if (m_state.response.isStarted)
        prepareResume(admission, matcher);
    auto attempt = m_state.attempt.open(std::move(target), admission, std::move(matcher), m_owner.makeEvents(attemptId));
    m_log.attemptRouted(*m_state.attempt.target(), m_state.history.round.attempts, reason);
    lock.unlock();
    attempt->start();
}

void AttemptSequence::prepareResume(AdmissionRequest& admission, ResponseMatcher& matcher)
{
    admission.resumeFromToken = m_state.response.position.tokens;
    matcher.requireResume(m_state.response.position.tokens, m_state.response.head.status);
    Commands::resumeStream(m_state.response.position);
}

void AttemptSequence::failed(Lock lock, const AttemptFailure& failure)
{
    if (m_state.hasEnded())
        return;
    if (failure.kind == FailureKind::DisconnectedAfterSend || failure.kind == FailureKind::Failed)
        ++m_state.history.interruptedRuns;
    auto input = Queries::makeRetryInput(failure.kind, m_request, m_state.history, m_state.response, m_state.callerDisconnected);
    switch (Queries::decideRetry(input)) {
    case RetryDecision::RetryUncharged:
        return retry(std::move(lock), failure, false);
    case RetryDecision::RetryCharged:
        return retry(std::move(lock), failure, true);
    case RetryDecision::WaitForTarget:
        return startNewRound(std::move(lock), Queries::resumeRetryInterval, failure.error.message);
    case RetryDecision::ResolveOutcome:
        return resolve(std::move(lock));
    case RetryDecision::FailNotRun:
        return failure.kind == FailureKind::RefusedPermanently ? m_ending.fail(std::move(lock), failure.error) : retryLaterOrFail(std::move(lock), failure.error);
    case RetryDecision::FailUnknown:
        m_state.history.mayHaveRun = true;
        return m_ending.fail(std::move(lock), failure.error);
    case RetryDecision::AbortResponse:
        return m_ending.abort(std::move(lock), failure.error.message);
    }
}

void AttemptSequence::retry(Lock lock, const AttemptFailure& failure, bool isCharged)
{
    if (failure.kind == FailureKind::DisconnectedAfterSend || failure.kind == FailureKind::Failed)
        m_state.history.mayHaveRun = true;
    if (!isCharged || Base::succeeded(Commands::chargeRetry(m_context.retryBudget)))
        return continueAfter(std::move(lock), failure, isCharged);
    m_log.retryDenied();
    if (!m_state.response.isStarted)
        return m_ending.fail(std::move(lock), Queries::deniedRetryError(failure));
    waitForRetryBudget(std::move(lock), failure);
}

bool AttemptSequence::isInterrupted() const
{
    return m_state.response.isStarted || (m_state.history.mayHaveRun && m_request.repeatable);
}

void AttemptSequence::waitForRetryBudget(Lock lock, const AttemptFailure& failure)
{
    m_state.history.unchargedFailure = failure;
    scheduleAttempt(std::move(lock), retryBudgetInterval, "the retry budget is exhausted");
}

void AttemptSequence::continueAfter(Lock lock, const AttemptFailure& failure, bool isCharged)
{
    m_log.retryCounted(isCharged);
    if (isCharged && m_state.response.isStarted)
        return resumeResponse(std::move(lock), failure);
    m_log.retried(failure.error.message);
    begin(std::move(lock));
}

void AttemptSequence::resumeResponse(Lock lock, const AttemptFailure& failure)
{
    ++m_state.history.resumes;
    m_log.resumed(m_state.response.position.tokens, m_state.history.resumes, failure.error.message);
    if (failure.engineCrashed)
        return scheduleAttempt(std::move(lock), crashRetryDelay, failure.error.message);
    begin(std::move(lock));
}

void AttemptSequence::resolve(Lock lock)
{
    m_state.phase = Phase::Resolving;
    m_state.nextAttemptAt = {};
    auto channel = m_state.attempt.channel();
    auto attemptId = m_state.attempt.id();
    auto permit = m_state.attempt.grantedPermit();
    lock.unlock();
    channel->resolve(attemptId, permit, resolveTimeout, m_owner.makeResolutionHandler(attemptId));
}

void AttemptSequence::scheduleResolution(Lock)
{
    m_log.waiting("the agent did not report the outcome");
    m_state.nextAttemptAt = m_context.clock.now() + resolveInterval;
}

void AttemptSequence::retryLaterOrFail(Lock lock, const RoutingError& error)
{
    auto delay = Queries::delayNextRound(m_request, isInterrupted(), m_state.callerDisconnected, m_context.clock.now());
    if (!delay)
        return m_ending.fail(std::move(lock), error);
    startNewRound(std::move(lock), *delay, error.message);
}

void AttemptSequence::startNewRound(Lock lock, Base::Duration delay, const std::string& reason)
{
    m_state.history.round = {};
    scheduleAttempt(std::move(lock), delay, reason);
}

void AttemptSequence::scheduleAttempt(Lock, Base::Duration delay, const std::string& reason)
{
    m_log.waiting(reason);
    m_state.phase = Phase::Waiting;
    m_state.nextAttemptAt = m_context.clock.now() + delay;
}

} // namespace Lavenderloft::Routing
