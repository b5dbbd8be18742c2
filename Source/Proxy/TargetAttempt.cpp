#include "Proxy/TargetAttempt.h"

#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Dispatch/Commands/RecordProgress.h"
#include "Dispatch/Commands/RecordStatement.h"
#include "Dispatch/Queries/DecideWithdrawal.h"
#include "Http/TaskFailures.h"
#include "Observability/Log.h"
#include "Proxy/Events.h"

#include <algorithm>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
using Dispatch::Commands::AttemptResult;
using Dispatch::Queries::AttemptEnd;

namespace {

    using namespace std::chrono_literals;

    constexpr int lowestPriority = 9;
    // A target that crashes when it begins to write may still send a first event.
    constexpr unsigned partsOfSoundPrompt = 2;
    constexpr unsigned misdirectedStatus = 421;

    // Empty if the target names no limit.
    std::string describeLimit(const Dispatch::StatedLimit& limit)
    {
        return limit.kind == Dispatch::StatedLimit::Kind::Named ? std::to_string(limit.requestsPerSecond) : std::string();
    }

} // namespace

TargetAttempt::TargetAttempt(std::shared_ptr<ProxyRequest> request, Dispatch::Lease lease)
    : m_request(std::move(request))
    , m_lease(m_request, std::move(lease))
    , m_limits(Dispatch::Queries::findSilenceLimits(m_request->context.dispatch, m_request->traits, m_request->now()))
    , m_exchange(m_request->context, m_request->worker, *m_request->disconnectMonitor, *m_lease->target, m_request->head.requestId)
{
    // A target is tried once, also while an attempt at it goes on.
    m_request->traits.triedTargets.push_back(targetId());
    ++m_request->history.attempts;
}

TargetAttempt::~TargetAttempt()
{
    if (!m_request->isLoopStopped())
        Http::guardTask("release-attempt", [this] { abandon(); });
}

Http::HttpRequest TargetAttempt::forwardedHead(std::optional<uint64_t> lastEventId) const
{
    ForwardedFields forwarding;
    forwarding.timeLeft = m_request->timeLeft();
    forwarding.expectedTarget = targetId();
    if (m_request->organisation)
        forwarding.organisation = m_request->organisation->name;
    forwarding.priority = std::clamp(m_request->traits.priority, 0, lowestPriority);
    forwarding.expectedWeights = m_lease->expectedWeights;
    forwarding.lastEventId = lastEventId;
    Http::HttpRequest head;
    head.method = m_request->message.method;
    head.target = m_request->message.target;
    head.headers = m_request->context.protocol.forwardedHeaders(m_request->message.headers, forwarding);
    return head;
}

Base::TimePoint TargetAttempt::withdrawnBy() const
{
    auto deadline = m_request->traits.deadline;
    auto withdrawal = Dispatch::Queries::withdrawalTimeOf(*m_lease, m_lease->assignedAt, m_limits.firstPart);
    return std::min(deadline, withdrawal.value_or(deadline));
}

asio::awaitable<TargetAttempt::Failure> TargetAttempt::send(std::optional<uint64_t> lastEventId)
{
    m_lastHeardAt = m_request->now();
    auto failure = co_await m_exchange.send(forwardedHead(lastEventId), m_request->message.body, m_request->isRepeatable(), withdrawnBy());
    if (failure == AttemptEnd::NotSent)
        co_return failure;
    m_request->reachedTarget = true;
    ++m_request->history.runs;
    m_sentAt = m_request->now();
    m_lastHeardAt = m_sentAt;
    co_return failure;
}

asio::awaitable<TargetAttempt::Failure> TargetAttempt::readHead()
{
    auto failure = co_await m_exchange.readHead(m_request->message.method == "HEAD", withdrawnBy());
    if (failure)
        co_return failure;
    m_hasHead = true;
    recordStatement();
    if (isNotExecuted())
        --m_request->history.runs;
    co_return std::nullopt;
}

void TargetAttempt::recordStatement()
{
    auto& target = m_lease->target->entry;
    auto& service = m_request->traits.service;
    auto& statement = m_exchange.response().head.statement;
    auto learned = Dispatch::Commands::recordStatement(m_request->context.dispatch, service, target, statement, m_lease->assignedAt, m_request->now());
    auto& requestId = m_request->head.requestId;
    if (learned.isNewlyLeaving)
        Observability::logEvent(Events::targetLeaving, { { "target", target.id }, { "service", service }, { "incarnation", target.startedAt }, { "request", requestId } });
    if (learned.heldBackFor)
        Observability::logEvent(Events::targetHeldBack, { { "target", target.id }, { "service", service }, { "incarnation", target.startedAt }, { "request", requestId }, { "asked", *statement.retryAfter }, { "held_back_for", *learned.heldBackFor } });
    if (learned.hasNewLimit)
        Observability::logEvent(Events::targetLimited, { { "target", target.id }, { "service", service }, { "incarnation", target.startedAt }, { "request", requestId }, { "limit", describeLimit(statement.limit) } });
}

bool TargetAttempt::isSuccess() const
{
    auto& response = m_exchange.response();
    return response.status >= 200 && response.status < 300 && response.head.sealed;
}

bool TargetAttempt::isEventStream() const
{
    // A target need not name the type of a stream.
    auto type = Http::headerValue(m_exchange.response().headers, "Content-Type");
    return isSuccess() && (type.empty() || type.starts_with("text/event-stream"));
}

bool TargetAttempt::isNotExecuted() const
{
    auto& response = m_exchange.response();
    return response.head.notExecuted && impliesNotExecuted(response.status);
}

void TargetAttempt::cancel()
{
    m_exchange.cancel();
}

void TargetAttempt::recordPart()
{
    auto now = m_request->now();
    auto& dispatch = m_request->context.dispatch;
    auto& service = m_request->traits.service;
    ++m_parts;
    if (m_parts == 1)
        Dispatch::Commands::recordFirstPart(dispatch, service, targetId(), m_lease->assignedAt, m_sentAt, now);
    else
        m_longestPause = std::max(m_longestPause, now - m_awaitedSince);
    if (std::exchange(m_isSilent, false))
        Dispatch::Commands::recordEndOfSilence(dispatch, service, targetId());
    if (m_parts == partsOfSoundPrompt)
        Dispatch::Commands::recordPartsServed(dispatch, m_request->traits.sharedParts, now);
    m_lastHeardAt = now;
}

void TargetAttempt::recordSilence()
{
    if (!std::exchange(m_isSilent, true))
        Dispatch::Commands::recordSilence(m_request->context.dispatch, m_request->traits.service, targetId(), m_request->now());
}

void TargetAttempt::release(const AttemptOutcome& outcome)
{
    if (m_lease.isReleased())
        return;
    m_exchange.releaseConnection();
    auto now = m_request->now();
    auto& dispatch = m_request->context.dispatch;
    if (m_parts == 0)
        Dispatch::Commands::recordUnanswered(dispatch, m_request->traits.service, targetId(), m_lease->assignedAt);
    if (m_longestPause > Base::Duration::zero())
        Dispatch::Commands::recordLongestPause(dispatch, m_request->traits.service, m_longestPause, now);
    m_lease.release(outcome.result, now);
    recordEvidence(outcome);
}

void TargetAttempt::recordEvidence(const AttemptOutcome& outcome)
{
    auto now = m_request->now();
    auto& dispatch = m_request->context.dispatch;
    auto& traits = m_request->traits;
    if (outcome.finished) {
        if (outcome.result == AttemptResult::Served) {
            Dispatch::Commands::recordPartsServed(dispatch, traits.sharedParts, now);
            Dispatch::Commands::recordRequestServed(dispatch, traits.fingerprint);
        }
        return;
    }
    if (outcome.end != AttemptEnd::Broken || m_request->callerDisconnected())
        return;
    std::vector<uint64_t> suspectParts;
    if (m_parts < partsOfSoundPrompt) {
        for (auto& part : traits.sharedParts)
            suspectParts.push_back(part.id);
    }
    Dispatch::Commands::recordBrokenRun(dispatch, traits.fingerprint, m_lease->target->entry, now, std::move(suspectParts));
}

AttemptOutcome TargetAttempt::failedAs(AttemptEnd end, unsigned status) const
{
    bool hasResponse = end == AttemptEnd::NotExecuted || end == AttemptEnd::ErrorResponse;
    // The attempt was cancelled, which says nothing about the target.
    if (!hasResponse && m_request->callerDisconnected())
        return { false, end, AttemptResult::Abandoned };
    switch (end) {
    case AttemptEnd::NotExecuted:
        return { false, end, status == misdirectedStatus ? AttemptResult::Misdirected : AttemptResult::Rejected, status };
    case AttemptEnd::ErrorResponse:
        return { false, end, AttemptResult::ErrorResponse, status };
    case AttemptEnd::TimedOut:
        // The caller's deadline may have been too short, so the target is not at fault.
        return { false, end, m_request->now() >= m_request->traits.deadline ? AttemptResult::Abandoned : AttemptResult::Failed };
    case AttemptEnd::NotSent:
        return { false, end, AttemptResult::Unreachable };
    case AttemptEnd::Broken:
        break;
    }
    return { false, end, AttemptResult::Failed };
}

// Whether the status tells the caller that the request did not run.
bool impliesNotExecuted(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace Lavenderloft::Proxy
