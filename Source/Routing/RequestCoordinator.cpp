#include "Routing/RequestCoordinator.h"

#include "Observability/Log.h"
#include "Routing/Commands/AdvanceStream.h"
#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/Commands/RecordCrash.h"
#include "Routing/Events.h"
#include "Routing/Queries/DescribeFailure.h"
#include "Routing/Queries/FindQuarantine.h"
#include "Routing/Queries/FindResumePoint.h"
#include "Routing/Queries/MakeAdmissionRequest.h"
#include "Routing/Queries/SelectTarget.h"
#include "Streaming/Commands/ChargeStream.h"

namespace Lavenderloft::Routing {

using Observability::logEvent;
using Queries::FailureKind;
using Queries::RetryDecision;
using namespace std::chrono_literals;

namespace {

    // Backoff of a target after its stream broke.
    constexpr auto disconnectBackoff = 1000ms;

    // Delay between two rounds of attempts for a hazard message.
    constexpr auto hazardRetryInterval = 50ms;

    // Delay between two rounds of attempts to resume a response.
    constexpr auto resumeRetryInterval = 200ms;

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
    , m_writer(std::move(writer))
    , m_forwarder(std::make_shared<ResponseForwarder>(m_contextOwner, m_request.id, m_writer))
    , m_startedAt(m_context.clock.now())
{
}

void RequestCoordinator::start()
{
    Commands::creditRequest(m_context.retryBudget);
    auto charged = Streaming::Commands::chargeStream(m_context.requestBudget, m_request.id, m_request.message.body.size(), m_startedAt);
    m_context.running.set(m_request.id, shared_from_this());
    Lock lock(m_lock);
    if (!Base::succeeded(charged))
        return fail(std::move(lock), { ErrorCode::AtLimit, "the requests in flight at this router have reached streamBudgetBytes", "retry after retryAfterMs", Outcome::NotRun, defaultRetryAfter });
    lock.unlock();
    m_forwarder->open([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->beginAttempt(Lock(self->m_lock));
    });
}

void RequestCoordinator::beginAttempt(Lock lock)
{
    if (m_state == State::Ended)
        return;
    auto now = m_context.clock.now();
    if (now >= m_request.deadline)
        return fail(std::move(lock), Queries::deadlineError("the deadline passed before a target accepted the request"));
    if (auto status = Queries::findQuarantine(m_context.quarantine, m_request.fingerprint, now); status.state != QuarantineState::Free)
        return failQuarantined(std::move(lock), status);
    auto digest = m_responseStarted ? m_head.weightsDigest : std::string();
    auto selection = Queries::selectTarget(m_context.targets, m_request, m_tried, m_context.policy, m_context.random, now, digest);
    // If no other target is left, a target whose stream broke may be tried again, but not one that refused. A
    // response that has started waits for another target instead.
    if (!selection.target && !m_responseStarted)
        selection = Queries::selectTarget(m_context.targets, m_request, m_refused, m_context.policy, m_context.random, now, digest);
    if (!selection.target)
        return retryLaterOrFail(std::move(lock), Queries::noTargetError(m_request, selection.reason));
    openAttempt(std::move(lock), std::move(selection.target), selection.reason);
}

void RequestCoordinator::failQuarantined(Lock lock, const QuarantineStatus& status)
{
    bool isPending = status.state == QuarantineState::Pending;
    logEvent(isPending ? requestHeld : requestQuarantined, { { "request", m_request.id }, { "fingerprint", m_request.fingerprint } });
    if (isPending && m_responseStarted)
        return scheduleAttempt(std::move(lock), status.pendingFor, "crash reports of other routers are not complete");
    fail(std::move(lock), Queries::quarantineError(status));
}

void RequestCoordinator::openAttempt(Lock lock, std::shared_ptr<Target> target, std::string_view reason)
{
    m_state = State::Admitting;
    ++m_attempts;
    m_target = std::move(target);
    m_target->attemptStarted();
    m_tried.push_back(m_target);
    m_attemptId = m_context.random.nextIdentifier();
    // The response must come from the weights that this target serves. A resumed one must come from the same
    // weights as its first part.
    auto weightsDigest = m_responseStarted ? m_head.weightsDigest : m_target->servingDigest();
    m_matcher = ResponseMatcher(m_attemptId, weightsDigest, m_request.adapter);
    auto admission = Queries::makeAdmissionRequest(m_request, m_attemptId, weightsDigest, m_context.clock.now());
    if (m_responseStarted) {
        admission.resumeFromToken = m_position.tokens;
        m_matcher.requireResume(m_position.tokens, m_head.status);
        Commands::resumeStream(m_position);
    }
    m_channel = m_context.channels.channelTo(m_target->address());
    m_attempt = m_channel->open(admission, std::make_shared<AttemptSink>(shared_from_this(), m_attemptId));
    auto attempt = m_attempt;
    if (Observability::isLogged(attemptRouted))
        logEvent(attemptRouted, { { "request", m_request.id }, { "destination", m_request.destination }, { "target", m_target->vm() }, { "attempt", m_attempts }, { "reason", reason } });
    lock.unlock();
    attempt->start();
}

bool RequestCoordinator::isCurrent(const std::string& attemptId) const
{
    return m_attempt && m_attemptId == attemptId && (m_state == State::Admitting || m_state == State::Running);
}

void RequestCoordinator::dropFrame(const char* frame)
{
    m_context.metrics.count("frames_dropped_total", { { "frame", frame } });
    logEvent(frameDropped, { { "request", m_request.id }, { "frame", frame } });
}

void RequestCoordinator::permitted(const std::string& attemptId, const Permit& permit)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId) || m_state != State::Admitting)
        return dropFrame("permit");
    m_state = State::Running;
    m_permit = permit;
    Commands::recordRunStart(m_context.quarantine, m_target->vm(), m_request.fingerprint);
    auto attempt = m_attempt;
    lock.unlock();
    attempt->send(permit.id, m_request.message);
}

void RequestCoordinator::refused(const std::string& attemptId, const Refusal& refusal)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId))
        return dropFrame("refusal");
    logEvent(attemptRefused, { { "request", m_request.id }, { "target", m_target->vm() }, { "message", refusal.message } });
    m_context.metrics.count("attempts_refused_total", { { "destination", m_request.destination } });
    m_target->setBackoffUntil(m_context.clock.now() + Queries::backoffAfter(refusal));
    m_refused.push_back(m_target);
    if (refusal.kind == RefusalKind::AtLimit)
        ++m_loadRefusals;
    releaseAttempt();
    attemptFailed(std::move(lock), Queries::refusalFailure(refusal, m_request.keyFromCaller));
}

void RequestCoordinator::head(const std::string& attemptId, ResponseHead head)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId))
        return dropFrame("head");
    auto verdict = m_matcher.head(head);
    if (verdict == FrameVerdict::Drop)
        return dropFrame("head");
    if (verdict == FrameVerdict::Invalid)
        return rejectResponse(std::move(lock), m_responseStarted ? "the target did not resume the response at the requested token" : "the response comes from different weights or another adapter than requested");
    // The head is sent together with the first byte of the body, so that a failure before that can be retried.
    if (!m_responseStarted)
        m_head = std::move(head);
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
    Lock lock(m_lock);
    auto verdict = isCurrent(attemptId) ? m_matcher.data(data) : FrameVerdict::Drop;
    if (verdict == FrameVerdict::Drop) {
        dropFrame("data");
        lock.unlock();
        return resume();
    }
    if (verdict == FrameVerdict::Invalid)
        return rejectResponse(std::move(lock), "received response data before the response head");
    if (m_request.kind == DesiredState::RouteKind::ToPool) {
        if (auto advanced = Commands::advanceStream(m_position, data.bytes); !Base::succeeded(advanced))
            return abortResponse(std::move(lock), Base::errorOf(advanced).message);
    }
    if (m_callerDisconnected || data.bytes.empty()) {
        lock.unlock();
        return resume();
    }
    bool isFirst = !std::exchange(m_responseStarted, true);
    lock.unlock();
    if (isFirst)
        m_writer->head(m_request.id, m_head);
    m_forwarder->forward(std::move(data.bytes), std::move(resume));
}

void RequestCoordinator::ended(const std::string& attemptId, const ResponseEnd& end)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId))
        return dropFrame("end");
    auto verdict = m_matcher.end(end);
    if (verdict == FrameVerdict::Drop)
        return dropFrame("end");
    if (end.engineCrashed)
        recordEngineCrash();
    bool isComplete = verdict == FrameVerdict::Accept && end.kind == EndKind::Complete;
    if (isComplete && Queries::isOverlapConsumed(m_position))
        return completeResponse(std::move(lock));
    // A frame was lost or duplicated, or the resumed response is shorter than the part already sent.
    if (m_responseStarted && (isComplete || verdict == FrameVerdict::Invalid))
        return abortResponse(std::move(lock), "the length of the response does not match its end frame");
    recordBrokenAttempt(verdict == FrameVerdict::Invalid ? "the length of the response does not match its end frame" : end.message);
    releaseAttempt();
    attemptFailed(std::move(lock), Queries::incompleteResponseFailure(end));
}

void RequestCoordinator::closed(const std::string& attemptId, const std::string& reason)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId))
        return;
    recordBrokenAttempt(reason);
    m_target->setBackoffUntil(m_context.clock.now() + disconnectBackoff);
    auto failed = Queries::connectionFailure(isSent(), m_request.repeatable);
    releaseAttempt();
    attemptFailed(std::move(lock), failed);
}

void RequestCoordinator::loadReported(const std::string& attemptId, const Membership::TargetLoad& load)
{
    Lock lock(m_lock);
    if (m_target && m_attemptId == attemptId)
        m_target->setLoad(load);
}

void RequestCoordinator::attemptFailed(Lock lock, const AttemptFailure& failed)
{
    if (m_state == State::Ended)
        return;
    Queries::RetryInput input;
    input.failure = failed.kind;
    input.repeatable = m_request.repeatable && !m_callerDisconnected;
    input.responseStarted = m_responseStarted;
    input.isResumable = Queries::findResumePoint(m_request, m_head, m_position).has_value();
    input.resumes = m_resumes;
    input.mayHaveRun = m_mayHaveRun;
    input.attempts = m_attempts;
    input.brokenAttempts = m_brokenAttempts;
    input.loadRefusals = m_loadRefusals;
    input.priorityClass = m_request.priorityClass;
    switch (Queries::decideRetry(input)) {
    case RetryDecision::RetryUncharged:
        return retry(std::move(lock), failed, false);
    case RetryDecision::RetryCharged:
        return retry(std::move(lock), failed, true);
    case RetryDecision::WaitForTarget:
        return startNewRound(std::move(lock), resumeRetryInterval, failed.error.message);
    case RetryDecision::ResolveOutcome:
        return resolve(std::move(lock));
    case RetryDecision::FailNotRun:
        return failed.kind == FailureKind::RefusedPermanently ? fail(std::move(lock), failed.error) : retryLaterOrFail(std::move(lock), failed.error);
    case RetryDecision::FailUnknown:
        m_mayHaveRun = true;
        return fail(std::move(lock), failed.error);
    case RetryDecision::AbortResponse:
        return abortResponse(std::move(lock), failed.error.message);
    }
}

void RequestCoordinator::retry(Lock lock, const AttemptFailure& failed, bool fromBudget)
{
    if (failed.kind == FailureKind::DisconnectedAfterSend || failed.kind == FailureKind::Failed)
        m_mayHaveRun = true;
    if (fromBudget && !Base::succeeded(Commands::chargeRetry(m_context.retryBudget))) {
        m_context.metrics.count("retries_denied_total");
        if (failed.kind == FailureKind::RefusedForLoad)
            return fail(std::move(lock), failed.error);
        return fail(std::move(lock), { ErrorCode::RetryBudgetSpent, failed.error.message + "; the retry budget is exhausted", "retry later", Outcome::NotRun, defaultRetryAfter });
    }
    m_context.metrics.count("retries_total", { { "paid", fromBudget ? "true" : "false" } });
    if (fromBudget && m_responseStarted)
        return resumeResponse(std::move(lock), failed);
    logEvent(attemptRetried, { { "request", m_request.id }, { "reason", failed.error.message } });
    beginAttempt(std::move(lock));
}

void RequestCoordinator::resumeResponse(Lock lock, const AttemptFailure& failed)
{
    ++m_resumes;
    m_context.metrics.count("answers_resumed_total", { { "destination", m_request.destination } });
    logEvent(answerResumed, { { "request", m_request.id }, { "token", m_position.tokens }, { "resumes", m_resumes }, { "reason", failed.error.message } });
    if (failed.engineCrashed)
        return scheduleAttempt(std::move(lock), crashRetryDelay, failed.error.message);
    beginAttempt(std::move(lock));
}

void RequestCoordinator::resolve(Lock lock)
{
    m_state = State::Resolving;
    auto channel = m_channel;
    auto attemptId = m_attemptId;
    auto permit = m_permit;
    lock.unlock();
    channel->resolve(attemptId, permit, resolveTimeout, [self = shared_from_this(), attemptId](const Resolution& resolution) {
        self->resolved(attemptId, resolution);
    });
}

void RequestCoordinator::resolved(const std::string& attemptId, const Resolution& resolution)
{
    Lock lock(m_lock);
    if (m_state != State::Resolving || m_attemptId != attemptId)
        return;
    // An agent that has restarted has no record of the attempt.
    bool isSameAgent = resolution.agentIncarnation == m_permit.agentIncarnation;
    auto outcome = isSameAgent ? resolution.outcome : AttemptOutcome::Unknown;
    logEvent(attemptResolved, { { "request", m_request.id }, { "target", m_target->vm() }, { "notRun", outcome == AttemptOutcome::NotRun }, { "sameAgent", isSameAgent } });
    if (outcome == AttemptOutcome::NotRun)
        return attemptFailed(std::move(lock), { FailureKind::NotRun, { ErrorCode::NotRun, "the connection to the target was lost and the permit was revoked", "retry", Outcome::NotRun, defaultRetryAfter } });
    m_mayHaveRun = true;
    RoutingError error { ErrorCode::OutcomeUnknown, "the connection to the target was lost after the request was sent", "check whether the call took effect, or send it again with Idempotency-Key: " + m_request.key, Outcome::Unknown, defaultRetryAfter };
    if (outcome == AttemptOutcome::Complete)
        error.outcome = Outcome::Complete;
    fail(std::move(lock), std::move(error));
}

void RequestCoordinator::retryLaterOrFail(Lock lock, const RoutingError& error)
{
    Base::Duration delay = m_responseStarted ? resumeRetryInterval : hazardRetryInterval;
    bool canWait = (m_responseStarted || m_request.priorityClass == DesiredState::PriorityClass::Hazard) && !m_callerDisconnected && m_context.clock.now() + delay < m_request.deadline;
    if (!canWait)
        return fail(std::move(lock), error);
    startNewRound(std::move(lock), delay, error.message);
}

void RequestCoordinator::startNewRound(Lock lock, Base::Duration delay, const std::string& reason)
{
    m_tried.clear();
    m_refused.clear();
    m_attempts = 0;
    m_brokenAttempts = 0;
    m_loadRefusals = 0;
    scheduleAttempt(std::move(lock), delay, reason);
}

void RequestCoordinator::scheduleAttempt(Lock, Base::Duration delay, const std::string& reason)
{
    logEvent(requestWaiting, { { "request", m_request.id }, { "reason", reason } });
    m_state = State::Waiting;
    m_nextAttemptAt = m_context.clock.now() + delay;
}

void RequestCoordinator::tick(Base::TimePoint now)
{
    Lock lock(m_lock);
    if (m_state == State::Ended)
        return;
    if (now >= m_request.deadline) {
        if (m_responseStarted)
            return abortResponse(std::move(lock), "the deadline passed");
        m_mayHaveRun = m_mayHaveRun || isSent() || m_state == State::Resolving;
        return fail(std::move(lock), Queries::deadlineError("the deadline passed before the response started"));
    }
    if (m_state == State::Waiting && now >= m_nextAttemptAt && m_nextAttemptAt != Base::TimePoint())
        return beginAttempt(std::move(lock));
    lock.unlock();
    // Readers that have become slow in the meantime can now be aborted to free budget.
    m_forwarder->retry();
}

void RequestCoordinator::callerDisconnected()
{
    Lock lock(m_lock);
    m_callerDisconnected = true;
    // A call that may not be repeated runs to completion, so that the outcome of its key becomes known.
    if (m_state == State::Ended || (!m_request.repeatable && m_state != State::Waiting && m_state != State::Admitting))
        return;
    auto attempt = finish("caller-gone");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_writer->abort();
}

void RequestCoordinator::abortSlowReader()
{
    Lock lock(m_lock);
    if (m_state == State::Ended)
        return;
    logEvent(slowReaderCut, { { "request", m_request.id }, { "sent", m_matcher.receivedBytes() } });
    m_context.metrics.count("slow_readers_cut_total");
    ++m_context.byteBudget.abortedStreams();
    abortResponse(std::move(lock), "slow_reader");
}

void RequestCoordinator::abandon()
{
    Lock lock(m_lock);
    if (m_state != State::Ended)
        abortResponse(std::move(lock), "the router stopped");
}

void RequestCoordinator::fail(Lock lock, RoutingError error)
{
    if (m_responseStarted)
        return abortResponse(std::move(lock), error.message);
    if (m_mayHaveRun && error.outcome == Outcome::NotRun)
        error.outcome = Outcome::Unknown;
    logEvent(requestFailed, { { "request", m_request.id }, { "code", codeName(error.code) }, { "outcome", outcomeName(error.outcome) }, { "reason", error.message } });
    m_context.metrics.count("errors_total", { { "code", std::string(codeName(error.code)) }, { "outcome", std::string(outcomeName(error.outcome)) } });
    auto attempt = finish("failed");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_writer->reject(m_request.id, error);
}

void RequestCoordinator::abortResponse(Lock lock, const std::string& reason)
{
    logEvent(requestCut, { { "request", m_request.id }, { "reason", reason } });
    auto attempt = finish("cut");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_writer->abort();
}

void RequestCoordinator::completeResponse(Lock lock)
{
    bool isFirst = !std::exchange(m_responseStarted, true);
    bool callerDisconnected = m_callerDisconnected;
    finish("complete");
    lock.unlock();
    if (callerDisconnected)
        return m_writer->abort();
    if (isFirst)
        m_writer->head(m_request.id, m_head);
    m_writer->complete();
    Streaming::Commands::resumeWaitingStream(m_context.byteBudget);
}

std::shared_ptr<Attempt> RequestCoordinator::releaseAttempt()
{
    if (!m_attempt)
        return nullptr;
    if (isSent())
        Commands::recordRunEnd(m_context.quarantine, m_target->vm(), m_request.fingerprint);
    m_target->attemptEnded();
    m_state = State::Waiting;
    m_nextAttemptAt = {};
    return std::exchange(m_attempt, nullptr);
}

std::shared_ptr<Attempt> RequestCoordinator::finish(const char* result)
{
    auto attempt = releaseAttempt();
    m_state = State::Ended;
    m_forwarder->close();
    Streaming::Commands::releaseStream(m_context.requestBudget, m_request.id);
    m_context.running.erase(m_request.id);
    m_context.metrics.count("requests_total", { { "destination", m_request.destination }, { "result", result } });
    std::chrono::duration<double> seconds = m_context.clock.now() - m_startedAt;
    m_context.metrics.observe("request_seconds", { { "destination", m_request.destination } }, seconds.count());
    return attempt;
}

void RequestCoordinator::recordEngineCrash()
{
    Commands::recordCrash(m_context.quarantine, m_target->vm(), m_request.fingerprint, m_context.clock.now());
    logEvent(crashRecorded, { { "request", m_request.id }, { "target", m_target->vm() }, { "fingerprint", m_request.fingerprint } });
    m_context.metrics.count("engine_crashes_seen_total");
}

void RequestCoordinator::recordBrokenAttempt(const std::string& reason)
{
    ++m_brokenAttempts;
    logEvent(attemptBroken, { { "request", m_request.id }, { "target", m_target->vm() }, { "sent", isSent() }, { "reason", reason } });
    m_context.metrics.count("attempts_broken_total", { { "destination", m_request.destination } });
}

} // namespace Lavenderloft::Routing
