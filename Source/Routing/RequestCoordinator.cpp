#include "Routing/RequestCoordinator.h"

#include "Routing/Commands/AdvanceStream.h"
#include "Routing/Commands/ChargeRetryBudget.h"
#include "Routing/Commands/RecordCrash.h"
#include "Routing/Queries/DescribeFailure.h"
#include "Routing/Queries/FindResumePoint.h"
#include "Routing/Queries/ReadResolution.h"
#include "Streaming/Commands/ChargeStream.h"

namespace Lavenderloft::Routing {

using namespace std::chrono_literals;

namespace {

    // Backoff of a target after its stream broke.
    constexpr auto disconnectBackoff = 1000ms;

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
    , m_attempts(m_context, m_request, m_log, m_state, m_ending, *this)
{
}

std::shared_ptr<AttemptEvents> RequestCoordinator::makeEvents(const std::string& attemptId)
{
    return std::make_shared<AttemptSink>(shared_from_this(), attemptId);
}

std::function<void(Resolution)> RequestCoordinator::makeResolutionHandler(const std::string& attemptId)
{
    return [self = shared_from_this(), attemptId](const Resolution& resolution) { self->resolved(attemptId, resolution); };
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
            self->m_attempts.begin(Lock(self->m_state.lock));
    });
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
    m_state.releaseAttempt();
    m_attempts.failed(std::move(lock), Queries::refusalFailure(refusal, m_request.keyFromCaller));
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
    auto attempt = m_state.releaseAttempt();
    lock.unlock();
    attempt->cancel();
    lock.lock();
    m_attempts.failed(std::move(lock), Queries::invalidResponseFailure(reason));
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
    m_state.releaseAttempt();
    m_attempts.failed(std::move(lock), Queries::incompleteResponseFailure(end));
}

void RequestCoordinator::closed(const std::string& attemptId, const std::string& reason)
{
    Lock lock(m_state.lock);
    if (!isCurrent(attemptId))
        return;
    recordBrokenAttempt(reason);
    m_state.attempt.target()->setBackoffUntil(m_context.clock.now() + disconnectBackoff);
    auto failure = Queries::connectionFailure(m_state.attempt.isSent(), m_request.repeatable);
    m_state.releaseAttempt();
    m_attempts.failed(std::move(lock), failure);
}

void RequestCoordinator::loadReported(const std::string& attemptId, const Membership::TargetLoad& load)
{
    Lock lock(m_state.lock);
    if (m_state.attempt.hasId(attemptId))
        m_state.attempt.target()->setLoad(load);
}
void RequestCoordinator::resolved(const std::string& attemptId, const Resolution& resolution)
{
    Lock lock(m_state.lock);
    if (m_state.phase != Phase::Resolving || !m_state.attempt.hasId(attemptId))
        return;
    if (!Queries::isAnswered(resolution) && m_context.targets.vms().find(m_state.attempt.target()->vm()))
        return m_attempts.scheduleResolution(std::move(lock));
    auto outcome = Queries::outcomeOf(resolution, m_state.attempt.grantedPermit());
    bool isNotRun = outcome == AttemptOutcome::NotRun;
    m_log.attemptResolved(*m_state.attempt.target(), isNotRun, Queries::isFromSameAgent(resolution, m_state.attempt.grantedPermit()));
    if (isNotRun)
        return m_attempts.failed(std::move(lock), Queries::revokedFailure());
    m_state.history.mayHaveRun = true;
    m_ending.fail(std::move(lock), Queries::resolvedError(outcome, m_request));
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
        if (m_state.phase == Phase::Resolving)
            return m_ending.fail(std::move(lock), Queries::resolvedError(AttemptOutcome::Unknown, m_request));
        return m_ending.fail(std::move(lock), Queries::deadlineError("the deadline passed before the response started"));
    }
    if (m_state.phase == Phase::Waiting && m_state.isDue(now))
        return m_attempts.begin(std::move(lock));
    if (m_state.phase == Phase::Resolving && m_state.isDue(now))
        return m_attempts.resolve(std::move(lock));
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
    if (m_state.hasEnded())
        return;
    m_state.history.mayHaveRun = m_state.history.mayHaveRun || m_state.isOutcomeOpen();
    m_ending.fail(std::move(lock), Queries::stoppedError(m_state.history.mayHaveRun));
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
