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
using Queries::RetryVerdict;
using namespace std::chrono_literals;

namespace {

    // How long a target is left alone whose stream broke.
    constexpr auto brokenPause = 1000ms;

    // Pause between two rounds of attempts of a hazard message.
    constexpr auto waitPause = 50ms;

    // Pause between two rounds of attempts to continue an answer.
    constexpr auto resumePause = 200ms;

    // A request that crashes its engine before the first token is retried at once. The answers that broke with
    // that engine follow later, because a second crash proves nothing when they run beside it again.
    constexpr auto crashPause = 1000ms;

    // An agent that does not tell the outcome within this time leaves it unknown.
    constexpr Base::Duration resolveTimeout = 2s;

} // namespace

// Hands the events of one attempt to the coordinator together with the attempt's identity.
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

RequestCoordinator::RequestCoordinator(std::shared_ptr<RoutingContext> context, LiveRequest request, std::shared_ptr<ResponseWriter> sink)
    : m_contextOwner(std::move(context))
    , m_context(*m_contextOwner)
    , m_request(std::move(request))
    , m_sink(std::move(sink))
    , m_forwarder(std::make_shared<AnswerForwarder>(m_contextOwner, m_request.id, m_sink))
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
        return fail(std::move(lock), { ErrorCode::AtLimit, "the requests under way at this router hold streamBudgetBytes", "retry after retryAfterMs", Outcome::NotRun, retryAdvice });
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
        return fail(std::move(lock), Queries::deadlineError("the deadline passed before a target took the request"));
    if (auto finding = Queries::findQuarantine(m_context.quarantine, m_request.fingerprint, now); finding.state != QuarantineState::Free)
        return failQuarantined(std::move(lock), finding);
    auto digest = m_answerStarted ? m_head.weightsDigest : std::string();
    auto selection = Queries::selectTarget(m_context.targets, m_request, m_tried, m_context.policy, m_context.random, now, digest);
    // A target that broke off is better than none; one that refused is not. An answer that has started can wait.
    if (!selection.target && !m_answerStarted)
        selection = Queries::selectTarget(m_context.targets, m_request, m_refused, m_context.policy, m_context.random, now, digest);
    if (!selection.target)
        return waitOrFail(std::move(lock), Queries::noTargetError(m_request, selection.reason));
    openAttempt(std::move(lock), std::move(selection.target), selection.reason);
}

void RequestCoordinator::failQuarantined(Lock lock, const QuarantineFinding& finding)
{
    bool isPending = finding.state == QuarantineState::Pending;
    logEvent(isPending ? requestHeld : requestQuarantined, { { "request", m_request.id }, { "fingerprint", m_request.fingerprint } });
    if (isPending && m_answerStarted)
        return wait(std::move(lock), finding.pendingFor, "reports on crashes are awaited");
    fail(std::move(lock), Queries::quarantineError(finding));
}

void RequestCoordinator::openAttempt(Lock lock, std::shared_ptr<Target> target, std::string_view reason)
{
    m_state = State::Admitting;
    ++m_attempts;
    m_target = std::move(target);
    m_target->attemptStarted();
    m_tried.push_back(m_target);
    m_attemptId = m_context.random.identifier();
    // The answer must come from the version that this target serves; the request is bound to no version.
    auto weightsDigest = m_answerStarted ? m_head.weightsDigest : m_target->servingDigest();
    m_matcher = AnswerMatcher(m_attemptId, weightsDigest, m_request.adapter);
    auto admission = Queries::makeAdmissionRequest(m_request, m_attemptId, weightsDigest, m_context.clock.now());
    if (m_answerStarted) {
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
    m_target->avoidUntil(m_context.clock.now() + Queries::pauseAfter(refusal));
    m_refused.push_back(m_target);
    if (refusal.kind == RefusalKind::AtLimit)
        ++m_loadRefusals;
    leaveAttempt();
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
    if (verdict == FrameVerdict::Unusable)
        return rejectAnswer(std::move(lock), m_answerStarted ? "a target did not continue the answer at the token asked for" : "a target answered from other weights than the pool's, or from another adapter");
    // The head goes to the caller with the first byte of the body, so that a break in between can be retried.
    if (!m_answerStarted)
        m_head = std::move(head);
}

void RequestCoordinator::rejectAnswer(Lock lock, const std::string& reason)
{
    recordBreak(reason);
    auto attempt = leaveAttempt();
    lock.unlock();
    attempt->cancel();
    lock.lock();
    attemptFailed(std::move(lock), Queries::unusableAnswer(reason));
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
    if (verdict == FrameVerdict::Unusable)
        return rejectAnswer(std::move(lock), "a part of a target's answer came before its head");
    if (m_request.kind == DesiredState::RouteKind::ToPool) {
        if (auto advanced = Commands::advanceStream(m_position, data.bytes); !Base::succeeded(advanced))
            return cut(std::move(lock), Base::errorOf(advanced).message);
    }
    if (m_callerDisconnected || data.bytes.empty()) {
        lock.unlock();
        return resume();
    }
    bool isFirst = !std::exchange(m_answerStarted, true);
    lock.unlock();
    if (isFirst)
        m_sink->head(m_request.id, m_head);
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
        noteCrash();
    bool isWhole = verdict == FrameVerdict::Accept && end.kind == EndKind::Complete;
    if (isWhole && Queries::hasRepeatedAll(m_position))
        return completeAnswer(std::move(lock));
    // A frame was lost or doubled, or the resumed answer is shorter than what the caller has received.
    if (m_answerStarted && (isWhole || verdict == FrameVerdict::Unusable))
        return cut(std::move(lock), "the answer is not as long as its end says");
    recordBreak(verdict == FrameVerdict::Unusable ? "the answer is not as long as its end says" : end.message);
    leaveAttempt();
    attemptFailed(std::move(lock), Queries::incompleteAnswer(end));
}

void RequestCoordinator::closed(const std::string& attemptId, const std::string& reason)
{
    Lock lock(m_lock);
    if (!isCurrent(attemptId))
        return;
    recordBreak(reason);
    m_target->avoidUntil(m_context.clock.now() + brokenPause);
    auto failed = Queries::brokenStream(isSent(), m_request.repeatable);
    leaveAttempt();
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
    Queries::RetryFacts facts;
    facts.failure = failed.kind;
    facts.repeatable = m_request.repeatable && !m_callerDisconnected;
    facts.answerStarted = m_answerStarted;
    facts.isResumable = Queries::findResumePoint(m_request, m_head, m_position).has_value();
    facts.resumes = m_resumes;
    facts.mayHaveRun = m_mayHaveRun;
    facts.attempts = m_attempts;
    facts.breaks = m_breaks;
    facts.loadRefusals = m_loadRefusals;
    facts.priorityClass = m_request.priorityClass;
    switch (Queries::decideRetry(facts)) {
    case RetryVerdict::RetryFree:
        return retry(std::move(lock), failed, false);
    case RetryVerdict::RetryFromBudget:
        return retry(std::move(lock), failed, true);
    case RetryVerdict::AwaitTarget:
        return startNewRound(std::move(lock), resumePause, failed.error.message);
    case RetryVerdict::Resolve:
        return resolve(std::move(lock));
    case RetryVerdict::FailNotRun:
        return failed.kind == FailureKind::RefusedForGood ? fail(std::move(lock), failed.error) : waitOrFail(std::move(lock), failed.error);
    case RetryVerdict::FailUnknown:
        m_mayHaveRun = true;
        return fail(std::move(lock), failed.error);
    case RetryVerdict::Cut:
        return cut(std::move(lock), failed.error.message);
    }
}

void RequestCoordinator::retry(Lock lock, const AttemptFailure& failed, bool fromBudget)
{
    if (failed.kind == FailureKind::BrokenAfterSend || failed.kind == FailureKind::Failed)
        m_mayHaveRun = true;
    if (fromBudget && !Base::succeeded(Commands::chargeRetry(m_context.retryBudget))) {
        m_context.metrics.count("retries_denied_total");
        if (failed.kind == FailureKind::RefusedForLoad)
            return fail(std::move(lock), failed.error);
        return fail(std::move(lock), { ErrorCode::RetryBudgetSpent, failed.error.message + "; the retry budget is spent", "retry later", Outcome::NotRun, retryAdvice });
    }
    m_context.metrics.count("retries_total", { { "paid", fromBudget ? "true" : "false" } });
    if (fromBudget && m_answerStarted)
        return resumeAnswer(std::move(lock), failed);
    logEvent(attemptRetried, { { "request", m_request.id }, { "reason", failed.error.message } });
    beginAttempt(std::move(lock));
}

void RequestCoordinator::resumeAnswer(Lock lock, const AttemptFailure& failed)
{
    ++m_resumes;
    m_context.metrics.count("answers_resumed_total", { { "destination", m_request.destination } });
    logEvent(answerResumed, { { "request", m_request.id }, { "token", m_position.tokens }, { "resumes", m_resumes }, { "reason", failed.error.message } });
    if (failed.engineCrashed)
        return wait(std::move(lock), crashPause, failed.error.message);
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
    // An agent that restarted has no record of the attempt.
    bool isSameAgent = resolution.agentIncarnation == m_permit.agentIncarnation;
    auto outcome = isSameAgent ? resolution.outcome : AttemptOutcome::Unknown;
    logEvent(attemptResolved, { { "request", m_request.id }, { "target", m_target->vm() }, { "notRun", outcome == AttemptOutcome::NotRun }, { "sameAgent", isSameAgent } });
    if (outcome == AttemptOutcome::NotRun)
        return attemptFailed(std::move(lock), { FailureKind::NotRun, { ErrorCode::NotRun, "the connection to the target broke and the permit was revoked", "retry", Outcome::NotRun, retryAdvice } });
    m_mayHaveRun = true;
    RoutingError error { ErrorCode::OutcomeUnknown, "the connection to the target broke after the request was sent", "find out whether the call ran, or send it again with Idempotency-Key: " + m_request.key, Outcome::Unknown, retryAdvice };
    if (outcome == AttemptOutcome::Complete)
        error.outcome = Outcome::Complete;
    fail(std::move(lock), std::move(error));
}

void RequestCoordinator::waitOrFail(Lock lock, const RoutingError& error)
{
    Base::Duration pause = m_answerStarted ? resumePause : waitPause;
    bool mayWait = (m_answerStarted || m_request.priorityClass == DesiredState::PriorityClass::Hazard) && !m_callerDisconnected && m_context.clock.now() + pause < m_request.deadline;
    if (!mayWait)
        return fail(std::move(lock), error);
    startNewRound(std::move(lock), pause, error.message);
}

void RequestCoordinator::startNewRound(Lock lock, Base::Duration pause, const std::string& reason)
{
    m_tried.clear();
    m_refused.clear();
    m_attempts = 0;
    m_breaks = 0;
    m_loadRefusals = 0;
    wait(std::move(lock), pause, reason);
}

void RequestCoordinator::wait(Lock, Base::Duration pause, const std::string& reason)
{
    logEvent(requestWaiting, { { "request", m_request.id }, { "reason", reason } });
    m_state = State::Waiting;
    m_resumeAt = m_context.clock.now() + pause;
}

void RequestCoordinator::tick(Base::TimePoint now)
{
    Lock lock(m_lock);
    if (m_state == State::Ended)
        return;
    if (now >= m_request.deadline) {
        if (m_answerStarted)
            return cut(std::move(lock), "the deadline passed");
        m_mayHaveRun = m_mayHaveRun || isSent() || m_state == State::Resolving;
        return fail(std::move(lock), Queries::deadlineError("the deadline passed before the answer began"));
    }
    if (m_state == State::Waiting && now >= m_resumeAt && m_resumeAt != Base::TimePoint())
        return beginAttempt(std::move(lock));
    lock.unlock();
    // Readers that have become slow meanwhile make room.
    m_forwarder->retry();
}

void RequestCoordinator::callerDisconnected()
{
    Lock lock(m_lock);
    m_callerDisconnected = true;
    // A call that may not be repeated runs to its end, so that its key's outcome becomes known.
    if (m_state == State::Ended || (!m_request.repeatable && m_state != State::Waiting && m_state != State::Admitting))
        return;
    auto attempt = end("caller-gone");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_sink->abort();
}

void RequestCoordinator::abortSlowReader()
{
    Lock lock(m_lock);
    if (m_state == State::Ended)
        return;
    logEvent(slowReaderCut, { { "request", m_request.id }, { "sent", m_matcher.receivedBytes() } });
    m_context.metrics.count("slow_readers_cut_total");
    ++m_context.byteBudget.cutStreams();
    cut(std::move(lock), "slow_reader");
}

void RequestCoordinator::abandon()
{
    Lock lock(m_lock);
    if (m_state != State::Ended)
        cut(std::move(lock), "the router stopped");
}

void RequestCoordinator::fail(Lock lock, RoutingError error)
{
    if (m_answerStarted)
        return cut(std::move(lock), error.message);
    if (m_mayHaveRun && error.outcome == Outcome::NotRun)
        error.outcome = Outcome::Unknown;
    logEvent(requestFailed, { { "request", m_request.id }, { "code", codeName(error.code) }, { "outcome", outcomeName(error.outcome) }, { "reason", error.message } });
    m_context.metrics.count("errors_total", { { "code", std::string(codeName(error.code)) }, { "outcome", std::string(outcomeName(error.outcome)) } });
    auto attempt = end("failed");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_sink->reject(m_request.id, error);
}

void RequestCoordinator::cut(Lock lock, const std::string& reason)
{
    logEvent(requestCut, { { "request", m_request.id }, { "reason", reason } });
    auto attempt = end("cut");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_sink->abort();
}

void RequestCoordinator::completeAnswer(Lock lock)
{
    bool isFirst = !std::exchange(m_answerStarted, true);
    bool callerDisconnected = m_callerDisconnected;
    end("complete");
    lock.unlock();
    if (callerDisconnected)
        return m_sink->abort();
    if (isFirst)
        m_sink->head(m_request.id, m_head);
    m_sink->complete();
    Streaming::Commands::resumeWaitingStream(m_context.byteBudget);
}

std::shared_ptr<Attempt> RequestCoordinator::leaveAttempt()
{
    if (!m_attempt)
        return nullptr;
    if (isSent())
        Commands::recordRunEnd(m_context.quarantine, m_target->vm(), m_request.fingerprint);
    m_target->attemptEnded();
    m_state = State::Waiting;
    m_resumeAt = {};
    return std::exchange(m_attempt, nullptr);
}

std::shared_ptr<Attempt> RequestCoordinator::end(const char* result)
{
    auto attempt = leaveAttempt();
    m_state = State::Ended;
    m_forwarder->close();
    Streaming::Commands::releaseStream(m_context.requestBudget, m_request.id);
    m_context.running.erase(m_request.id);
    m_context.metrics.count("requests_total", { { "destination", m_request.destination }, { "result", result } });
    std::chrono::duration<double> seconds = m_context.clock.now() - m_startedAt;
    m_context.metrics.observe("request_seconds", { { "destination", m_request.destination } }, seconds.count());
    return attempt;
}

void RequestCoordinator::noteCrash()
{
    Commands::recordCrash(m_context.quarantine, m_target->vm(), m_request.fingerprint, m_context.clock.now());
    logEvent(crashRecorded, { { "request", m_request.id }, { "target", m_target->vm() }, { "fingerprint", m_request.fingerprint } });
    m_context.metrics.count("engine_crashes_seen_total");
}

void RequestCoordinator::recordBreak(const std::string& reason)
{
    ++m_breaks;
    logEvent(attemptBroken, { { "request", m_request.id }, { "target", m_target->vm() }, { "sent", isSent() }, { "reason", reason } });
    m_context.metrics.count("attempts_broken_total", { { "destination", m_request.destination } });
}

} // namespace Lavenderloft::Routing
