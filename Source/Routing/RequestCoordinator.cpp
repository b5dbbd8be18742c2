#include "Routing/RequestCoordinator.h"

#include "Routing/Commands/AdvanceStream.h"
#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/Commands/RecordCrash.h"
#include "Routing/Queries/DelayNextRound.h"
#include "Routing/Queries/DescribeFailure.h"
#include "Routing/Queries/FindQuarantine.h"
#include "Routing/Queries/FindResumePoint.h"
#include "Routing/Queries/MakeAdmissionRequest.h"
#include "Routing/Queries/MakeRetryInput.h"
#include "Routing/Queries/ReadResolution.h"
#include "Routing/Queries/SelectNextTarget.h"
#include "Streaming/Commands/ChargeStream.h"

namespace Lavenderloft::Routing {

using Queries::FailureKind;
using Queries::RetryDecision;
using namespace std::chrono_literals;

namespace {

    // Backoff of a target after its stream broke.
    constexpr auto disconnectBackoff = 1000ms;

    // Delay before a response interrupted by an engine crash is resumed. A request that crashes its engine before
    // the first token is retried at once; if the interrupted requests ran next to it again, a second crash could
    // not tell them apart.
    constexpr auto crashRetryDelay = 1000ms;

    // The outcome is unknown if the agent does not report it within this time.
    constexpr Base::Duration resolveTimeout = 2s;

} // namespace

// Passes the events of one attempt to the coordinator with the attempt's ID.
class RequestCoordinator::AttemptSink final : public AttemptEvents {
public:
    AttemptSink(std::shared_ptr<RequestCoordinator> coordinator, std::string attemptId)
        : m_coordinator(std::move(coordinator))
        , m_attemptId(std::move(attemptId))
    {
    }

    void permitted(const Permit& permit) override { m_coordinator->permitted(m_attemptId, permit); }
    void refused(const Refusal& refusal) override { m_coordinator->refused(m_attemptId, refusal); }
    void head(ResponseHead head) override { m_coordinator->head(m_attemptId, std::move(head)); }
    void data(ResponseData data, std::function<void()> resume) override { m_coordinator->data(m_attemptId, std::move(data), std::move(resume)); }
    void ended(const ResponseEnd& end) override { m_coordinator->ended(m_attemptId, end); }
    void closed(const std::string& reason) override { m_coordinator->closed(m_attemptId, reason); }
    void loadReported(const Membership::TargetLoad& load) override { m_coordinator->loadReported(m_attemptId, load); }

private:
    std::shared_ptr<RequestCoordinator> m_coordinator;
    std::string m_attemptId;
};

RequestCoordinator::RequestCoordinator(std::shared_ptr<RoutingContext> context, LiveRequest request, std::shared_ptr<ResponseWriter> writer)
    : m_contextOwner(std::move(context))
    , m_context(*m_contextOwner)
    , m_request(std::move(request))
    , m_log(m_request, m_context.metrics)
    , m_writer(std::move(writer))
    , m_forwarder(std::make_shared<ResponseForwarder>(m_contextOwner, m_request.id, m_writer))
    , m_state(m_context, m_request.fingerprint)
    , m_ending(m_context, m_request, m_log, m_state, *m_forwarder, *m_writer)
{
}

void RequestCoordinator::start()
{
    Commands::creditRequest(m_context.retryBudget);
    auto charged = Streaming::Commands::chargeStream(m_context.requestBudget, m_request.id, m_request.message.body.size(), m_state.startedAt);
    m_context.running.set(m_request.id, shared_from_this());
    Lock lock(m_state.lock);
    if (!Base::succeeded(charged))
        return m_ending.fail(std::move(lock), Queries::requestBudgetError());
    lock.unlock();
    m_forwarder->open([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->beginAttempt(Lock(self->m_state.lock));
    });
}

void RequestCoordinator::beginAttempt(Lock lock)
{
    if (m_state.hasEnded())
        return;
    auto now = m_context.clock.now();
    if (now >= m_request.deadline)
        return m_ending.fail(std::move(lock), Queries::deadlineError("the deadline passed before a target accepted the request"));
    if (auto status = Queries::findQuarantine(m_context.quarantine, m_request.fingerprint, now); status.state != QuarantineState::Free)
        return failQuarantined(std::move(lock), status);
    auto selection = Queries::selectNextTarget(m_context.targets, m_request, m_state.history, m_state.response, m_context.policy, m_context.random, now);
    if (!selection.target)
        return retryLaterOrFail(std::move(lock), Queries::noTargetError(m_request, selection.reason));
    openAttempt(std::move(lock), std::move(selection.target), selection.reason);
}

void RequestCoordinator::failQuarantined(Lock lock, const QuarantineStatus& status)
{
    bool isPending = status.state == QuarantineState::Pending;
    m_log.quarantined(isPending);
    if (isPending && m_state.response.isStarted)
        return scheduleAttempt(std::move(lock), status.pendingFor, "crash reports of other routers are not complete");
    m_ending.fail(std::move(lock), Queries::quarantineError(status));
}

void RequestCoordinator::openAttempt(Lock lock, std::shared_ptr<Target> target, std::string_view reason)
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
    auto attempt = m_state.attempt.open(std::move(target), admission, std::move(matcher), std::make_shared<AttemptSink>(shared_from_this(), attemptId));
    m_log.attemptRouted(*m_state.attempt.target(), m_state.history.round.attempts, reason);
    lock.unlock();
    attempt->start();
}

void RequestCoordinator::prepareResume(AdmissionRequest& admission, ResponseMatcher& matcher)
{
    admission.resumeFromToken = m_state.response.position.tokens;
    matcher.requireResume(m_state.response.position.tokens, m_state.response.head.status);
    Commands::resumeStream(m_state.response.position);
}

void RequestCoordinator::permitted(const std::string& attemptId, const Permit& permit)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId) || m_state.phase != Phase::Admitting)
        return m_log.frameDropped("permit");
    m_state.phase = Phase::Running;
    auto attempt = m_state.attempt.permit(permit);
    lock.unlock();
    attempt->send(permit.id, m_request.message);
}

void RequestCoordinator::refused(const std::string& attemptId, const Refusal& refusal)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId))
        return m_log.frameDropped("refusal");
    m_log.attemptRefused(*m_state.attempt.target(), refusal);
    m_state.attempt.target()->setBackoffUntil(m_context.clock.now() + Queries::backoffAfter(refusal));
    m_state.history.round.refused.push_back(m_state.attempt.target());
    if (refusal.kind == RefusalKind::AtLimit)
        ++m_state.history.round.loadRefusals;
    releaseAttempt();
    attemptFailed(std::move(lock), Queries::refusalFailure(refusal, m_request.keyFromCaller));
}

void RequestCoordinator::head(const std::string& attemptId, ResponseHead head)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId))
        return m_log.frameDropped("head");
    auto verdict = m_state.attempt.matcher().head(head);
    if (verdict == FrameVerdict::Drop)
        return m_log.frameDropped("head");
    if (verdict == FrameVerdict::Invalid)
        return rejectResponse(std::move(lock), m_state.response.isStarted ? "the target did not resume the response at the requested token" : "the response comes from different weights or another adapter than requested");
    if (!m_state.response.isStarted)
        m_state.response.head = std::move(head);
}

void RequestCoordinator::rejectResponse(Lock lock, const std::string& reason)
{
    recordBrokenAttempt(reason);
    auto attempt = releaseAttempt();
    lock.unlock();
    attempt->cancel();
    lock.lock();
    attemptFailed(std::move(lock), Queries::invalidResponseFailure(reason));
}

void RequestCoordinator::data(const std::string& attemptId, ResponseData data, std::function<void()> resume)
{
    Lock lock(m_state.lock);
    auto verdict = isCurrent(attemptId) ? m_state.attempt.matcher().data(data) : FrameVerdict::Drop;
    if (verdict == FrameVerdict::Drop) {
        m_log.frameDropped("data");
        lock.unlock();
        return resume();
    }
    if (verdict == FrameVerdict::Invalid)
        return rejectResponse(std::move(lock), "received response data before the response head");
    if (m_request.kind == DesiredState::RouteKind::ToPool) {
        if (auto advanced = Commands::advanceStream(m_state.response.position, data.bytes); !Base::succeeded(advanced))
            return m_ending.abort(std::move(lock), Base::errorOf(advanced).message);
    }
    if (m_state.callerDisconnected || data.bytes.empty()) {
        lock.unlock();
        return resume();
    }
    bool isFirst = !std::exchange(m_state.response.isStarted, true);
    lock.unlock();
    if (isFirst)
        m_writer->head(m_request.id, m_state.response.head);
    m_forwarder->forward(std::move(data.bytes), std::move(resume));
}

void RequestCoordinator::ended(const std::string& attemptId, const ResponseEnd& end)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId))
        return m_log.frameDropped("end");
    auto verdict = m_state.attempt.matcher().end(end);
    if (verdict == FrameVerdict::Drop)
        return m_log.frameDropped("end");
    if (end.engineCrashed)
        recordEngineCrash();
    bool isComplete = verdict == FrameVerdict::Accept && end.kind == EndKind::Complete;
    if (isComplete && Queries::isOverlapConsumed(m_state.response.position))
        return m_ending.complete(std::move(lock));
    // A frame was lost or duplicated, or the resumed response is shorter than the part already sent.
    if (m_state.response.isStarted && (isComplete || verdict == FrameVerdict::Invalid))
        return m_ending.abort(std::move(lock), "the length of the response does not match its end frame");
    recordBrokenAttempt(verdict == FrameVerdict::Invalid ? "the length of the response does not match its end frame" : end.message);
    releaseAttempt();
    attemptFailed(std::move(lock), Queries::incompleteResponseFailure(end));
}

void RequestCoordinator::closed(const std::string& attemptId, const std::string& reason)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId))
        return;
    recordBrokenAttempt(reason);
    m_state.attempt.target()->setBackoffUntil(m_context.clock.now() + disconnectBackoff);
    auto failed = Queries::connectionFailure(m_state.attempt.isSent(), m_request.repeatable);
    releaseAttempt();
    attemptFailed(std::move(lock), failed);
}

void RequestCoordinator::loadReported(const std::string& attemptId, const Membership::TargetLoad& load)
{
    Lock lock(m_state.lock);
    if (m_state.attempt.hasId(attemptId))
        m_state.attempt.target()->setLoad(load);
}

void RequestCoordinator::attemptFailed(Lock lock, const AttemptFailure& failed)
{
    if (m_state.hasEnded())
        return;
    auto input = Queries::makeRetryInput(failed.kind, m_request, m_state.history, m_state.response, m_state.callerDisconnected);
    switch (Queries::decideRetry(input)) {
    case RetryDecision::RetryUncharged:
        return retry(std::move(lock), failed, false);
    case RetryDecision::RetryCharged:
        return retry(std::move(lock), failed, true);
    case RetryDecision::WaitForTarget:
        return startNewRound(std::move(lock), Queries::resumeRetryInterval, failed.error.message);
    case RetryDecision::ResolveOutcome:
        return resolve(std::move(lock));
    case RetryDecision::FailNotRun:
        return failed.kind == FailureKind::RefusedPermanently ? m_ending.fail(std::move(lock), failed.error) : retryLaterOrFail(std::move(lock), failed.error);
    case RetryDecision::FailUnknown:
        m_state.history.mayHaveRun = true;
        return m_ending.fail(std::move(lock), failed.error);
    case RetryDecision::AbortResponse:
        return m_ending.abort(std::move(lock), failed.error.message);
    }
}

void RequestCoordinator::retry(Lock lock, const AttemptFailure& failed, bool fromBudget)
{
    if (failed.kind == FailureKind::DisconnectedAfterSend || failed.kind == FailureKind::Failed)
        m_state.history.mayHaveRun = true;
    if (fromBudget && !Base::succeeded(Commands::chargeRetry(m_context.retryBudget))) {
        m_log.retryDenied();
        return m_ending.fail(std::move(lock), Queries::deniedRetryError(failed));
    }
    m_log.retryCounted(fromBudget);
    if (fromBudget && m_state.response.isStarted)
        return resumeResponse(std::move(lock), failed);
    m_log.retried(failed.error.message);
    beginAttempt(std::move(lock));
}

void RequestCoordinator::resumeResponse(Lock lock, const AttemptFailure& failed)
{
    ++m_state.history.resumes;
    m_log.resumed(m_state.response.position.tokens, m_state.history.resumes, failed.error.message);
    if (failed.engineCrashed)
        return scheduleAttempt(std::move(lock), crashRetryDelay, failed.error.message);
    beginAttempt(std::move(lock));
}

void RequestCoordinator::resolve(Lock lock)
{
    m_state.phase = Phase::Resolving;
    auto channel = m_state.attempt.channel();
    auto attemptId = m_state.attempt.id();
    auto permit = m_state.attempt.grantedPermit();
    lock.unlock();
    channel->resolve(attemptId, permit, resolveTimeout, [self = shared_from_this(), attemptId](const Resolution& resolution) {
        self->resolved(attemptId, resolution);
    });
}

void RequestCoordinator::resolved(const std::string& attemptId, const Resolution& resolution)
{
    Lock lock(m_state.lock);
    if (m_state.phase != Phase::Resolving || !m_state.attempt.hasId(attemptId))
        return;
    auto outcome = Queries::outcomeOf(resolution, m_state.attempt.grantedPermit());
    bool isNotRun = outcome == AttemptOutcome::NotRun;
    m_log.attemptResolved(*m_state.attempt.target(), isNotRun, Queries::isFromSameAgent(resolution, m_state.attempt.grantedPermit()));
    if (isNotRun)
        return attemptFailed(std::move(lock), Queries::revokedFailure());
    m_state.history.mayHaveRun = true;
    m_ending.fail(std::move(lock), Queries::resolvedError(outcome, m_request));
}

void RequestCoordinator::retryLaterOrFail(Lock lock, const RoutingError& error)
{
    auto delay = Queries::delayNextRound(m_request, m_state.response.isStarted, m_state.callerDisconnected, m_context.clock.now());
    if (!delay)
        return m_ending.fail(std::move(lock), error);
    startNewRound(std::move(lock), *delay, error.message);
}

void RequestCoordinator::startNewRound(Lock lock, Base::Duration delay, const std::string& reason)
{
    m_state.history.round = {};
    scheduleAttempt(std::move(lock), delay, reason);
}

void RequestCoordinator::scheduleAttempt(Lock, Base::Duration delay, const std::string& reason)
{
    m_log.waiting(reason);
    m_state.phase = Phase::Waiting;
    m_state.nextAttemptAt = m_context.clock.now() + delay;
}

void RequestCoordinator::tick(Base::TimePoint now)
{
    Lock lock(m_state.lock);
    if (m_state.hasEnded())
        return;
    if (now >= m_request.deadline) {
        if (m_state.response.isStarted)
            return m_ending.abort(std::move(lock), "the deadline passed");
        m_state.history.mayHaveRun = m_state.history.mayHaveRun || m_state.isOutcomeOpen();
        return m_ending.fail(std::move(lock), Queries::deadlineError("the deadline passed before the response started"));
    }
    if (m_state.phase == Phase::Waiting && now >= m_state.nextAttemptAt && m_state.nextAttemptAt != Base::TimePoint())
        return beginAttempt(std::move(lock));
    lock.unlock();
    // Readers that have become slow in the meantime can now be aborted to free budget.
    m_forwarder->retry();
}

void RequestCoordinator::callerDisconnected()
{
    Lock lock(m_state.lock);
    m_state.callerDisconnected = true;
    // A call that may not be repeated runs to completion, so that the outcome of its key becomes known.
    if (m_state.hasEnded() || (!m_request.repeatable && m_state.phase != Phase::Waiting && m_state.phase != Phase::Admitting))
        return;
    m_ending.callerGone(std::move(lock));
}

void RequestCoordinator::abortSlowReader()
{
    Lock lock(m_state.lock);
    if (m_state.hasEnded())
        return;
    m_log.slowReaderAborted(m_state.attempt.matcher().receivedBytes());
    ++m_context.byteBudget.abortedStreams();
    m_ending.abort(std::move(lock), "slow_reader");
}

void RequestCoordinator::abandon()
{
    Lock lock(m_state.lock);
    if (!m_state.hasEnded())
        m_ending.abort(std::move(lock), "the router stopped");
}

std::shared_ptr<Attempt> RequestCoordinator::releaseAttempt()
{
    auto attempt = m_state.attempt.release();
    if (!attempt)
        return nullptr;
    m_state.phase = Phase::Waiting;
    m_state.nextAttemptAt = {};
    return attempt;
}

void RequestCoordinator::recordEngineCrash()
{
    Commands::recordCrash(m_context.quarantine, m_state.attempt.target()->vm(), m_request.fingerprint, m_context.clock.now());
    m_log.engineCrashed(*m_state.attempt.target());
}

void RequestCoordinator::recordBrokenAttempt(const std::string& reason)
{
    ++m_state.history.round.brokenAttempts;
    m_log.attemptBroken(*m_state.attempt.target(), m_state.attempt.isSent(), reason);
}

} // namespace Lavenderloft::Routing
