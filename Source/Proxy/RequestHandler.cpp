#include "Proxy/RequestHandler.h"

#include "Base/RendezvousHash.h"
#include "Dispatch/Commands/AcquireTarget.h"
#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/Commands/RecordOutcome.h"
#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Dispatch/Commands/RecordStatement.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Observability/Log.h"
#include "Proxy/Events.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Dispatch::Commands::AttemptResult;

namespace {

    using namespace std::chrono_literals;

    // Used if the caller sends no deadline.
    constexpr std::chrono::milliseconds defaultDeadline = 30000ms;
    // A repeatable request is retried at another target if there is no response, or after its head no body that can be sent
    // to the caller, within this multiple of the target latency, or no event within this multiple of the longest pause.
    constexpr int responseTimeoutFactor = 3;
    constexpr std::chrono::milliseconds minimumResponseTimeout = 1000ms;
    constexpr std::chrono::milliseconds noConfigurationRetryAfter = 500ms;
    // For the close of a connection to reach the target, which then drops the request that waits there.
    constexpr std::chrono::milliseconds withdrawalTime = 300ms;
    // Fraction of the bound for configurations for which a router relies on its own one after the last news. The rest is
    // for reports that waited on a link.
    constexpr double usableConfigurationShare = 0.75;
    // A router usually learns of a new configuration within this time.
    constexpr std::chrono::milliseconds outdatedConfigurationRetryAfter = 300ms;
    // Short, because the next connection of the caller goes to another node.
    constexpr std::chrono::milliseconds closingRetryAfter = 50ms;
    // Targets that read slowly free the memory of a body within seconds.
    constexpr std::chrono::milliseconds bodyMemoryRetryAfter = 1000ms;
    // Matches no region; an empty list would allow all regions.
    const std::string noRegion;
    constexpr size_t maximumRefusalBytes = 16 * 1024;
    // Time for the body of a refusal whose head has arrived.
    constexpr std::chrono::milliseconds refusalBodyTimeout = 100ms;
    constexpr int lowestPriority = 9;
    // A target that crashes when it begins to write may still send a first event.
    constexpr unsigned arrivalsOfSoundPrompt = 2;
    constexpr unsigned misdirectedStatus = 421;

    std::string_view pathOf(std::string_view target)
    {
        return target.substr(0, target.find('?'));
    }

    std::string_view withoutPort(std::string_view host)
    {
        return host.substr(0, host.find(':'));
    }

    std::vector<std::string> commonRegions(const std::vector<std::string>& left, const std::vector<std::string>& right)
    {
        if (left.empty())
            return right;
        if (right.empty())
            return left;
        std::vector<std::string> common;
        for (auto& region : left) {
            if (std::find(right.begin(), right.end(), region) != right.end())
                common.push_back(region);
        }
        if (common.empty())
            common.push_back(noRegion);
        return common;
    }

    // Distributes the requests of a route over its services by request id.
    const std::string& chooseService(const Fleet::Route& route, const std::string& requestId)
    {
        uint64_t total = 0;
        for (auto& part : route.services)
            total += part.weight;
        auto point = Base::stableHash(requestId) % total;
        for (auto& part : route.services) {
            if (point < part.weight)
                return part.service;
            point -= part.weight;
        }
        return route.services.back().service;
    }

    // A target need not name the type of a stream.
    bool isEventStream(const Http::HttpHeaders& headers)
    {
        auto type = Http::headerValue(headers, "Content-Type");
        return type.empty() || type.starts_with("text/event-stream");
    }

    // Whether the status tells the caller that the request did not run.
    bool impliesNotExecuted(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool isServerError(unsigned status)
    {
        return status >= 500;
    }

    // Hexadecimal and separated by commas, as callers write them.
    std::string formatParts(const std::vector<Dispatch::PromptPart>& parts)
    {
        std::string text;
        for (auto& part : parts)
            text += (text.empty() ? "" : ",") + Dispatch::formatPartId(part.id);
        return text;
    }

    std::string formatSeconds(std::chrono::milliseconds duration)
    {
        auto thousandths = std::to_string(duration.count() % 1000);
        return std::to_string(duration.count() / 1000) + "." + std::string(3 - thousandths.size(), '0') + thousandths;
    }

} // namespace

RequestHandler::RequestHandler(ProxyContext& context, ProxyWorker& worker, beast::tcp_stream& caller, Http::HttpRequest request, bool keepAlive)
    : m_context(context)
    , m_openRequest(context)
    , m_worker(worker)
    , m_caller(caller)
    , m_request(std::move(request))
    , m_head(context.protocol.readRequestHead(m_request.headers))
    , m_response(context, caller, keepAlive)
    , m_disconnectMonitor(std::make_shared<DisconnectMonitor>(caller.socket()))
{
    m_traits.arrivedAt = context.clock.now();
}

RequestHandler::~RequestHandler()
{
    m_disconnectMonitor->stop();
}

asio::awaitable<bool> RequestHandler::run()
{
    m_caller.expires_never();
    m_disconnectMonitor->start();
    bool isAllowed = co_await resolve();
    if (isAllowed)
        co_await serve();
    m_disconnectMonitor->stop();
    bool mayKeep = m_response.mayKeepConnection() && !m_disconnectMonitor->callerDisconnected();
    co_return mayKeep;
}

asio::awaitable<void> RequestHandler::refuseForMemory()
{
    co_await respondWithError(503, "body_memory", bodyMemoryRetryAfter);
}

asio::awaitable<bool> RequestHandler::resolve()
{
    m_snapshot = Fleet::Queries::currentSnapshot(m_context.fleet);
    if (m_context.closing) {
        co_await respondWithError(503, "closing", closingRetryAfter);
        co_return false;
    }
    if (!m_snapshot->configuration) {
        co_await respondWithError(503, "no_configuration", noConfigurationRetryAfter);
        co_return false;
    }
    auto& configuration = *m_snapshot->configuration;
    auto host = withoutPort(Http::headerValue(m_request.headers, "Host"));
    m_traits.route = Fleet::Queries::matchRoute(configuration, host, pathOf(m_request.target));
    if (!m_traits.route) {
        co_await deny(404, "no_route");
        co_return false;
    }
    if (configuration.hasOrganisations && !m_traits.route->isPublic) {
        m_organisation = Fleet::Queries::findOrganisation(configuration, m_head.key.value_or(""));
        if (!m_organisation) {
            co_await deny(401, "unknown_key");
            co_return false;
        }
    }
    prepareTraits();
    co_return true;
}

void RequestHandler::prepareTraits()
{
    auto& route = *m_traits.route;
    m_traits.service = chooseService(route, m_head.requestId);
    m_traits.priority = m_organisation && m_organisation->priority ? *m_organisation->priority : route.priority;
    m_traits.allowedRegions = commonRegions(route.allowedRegions, m_organisation ? m_organisation->allowedRegions : std::vector<std::string>());
    auto owner = m_organisation ? m_organisation->name : std::string();
    m_traits.fingerprint = Base::stableHash(owner + '\0' + m_request.method + '\0' + m_request.target + '\0' + m_request.body);
    if (!m_head.promptParts.empty())
        m_traits.sharedParts.assign(m_head.promptParts.begin(), std::prev(m_head.promptParts.end()));
    auto deadline = m_head.deadline.value_or(defaultDeadline);
    if (route.timeout > 0ms)
        deadline = std::min(deadline, route.timeout);
    m_traits.deadline = m_traits.arrivedAt + deadline;
}

asio::awaitable<std::optional<LeaseWaiter::Outcome>> RequestHandler::acquire()
{
    auto waiter = std::make_shared<LeaseWaiter>(m_worker.context);
    auto now = m_context.clock.now();
    auto decision = m_history.attempts == 0 ? Dispatch::Commands::acquireTarget(m_context.dispatch, m_traits, waiter, now)
                                            : Dispatch::Commands::acquireForRetry(m_context.dispatch, m_traits, m_reachedTarget, waiter, now);
    if (auto* lease = std::get_if<Dispatch::Lease>(&decision))
        co_return std::move(*lease);
    if (auto* refusal = std::get_if<Dispatch::Refusal>(&decision))
        co_return *refusal;
    auto registration = m_disconnectMonitor->callOnDisconnect([waiter] { waiter->cancel(); });
    auto until = std::get<Dispatch::Queued>(decision).until;
    if (!m_disconnectMonitor->callerDisconnected())
        co_await waiter->waitFor(until - m_context.clock.now());
    if (!waiter->outcome()) {
        if (auto refusal = Dispatch::Commands::cancelWait(m_context.dispatch, m_traits, waiter.get(), m_context.clock.now()))
            co_return *refusal;
        // The outcome has been posted by another thread but not yet delivered.
        while (!waiter->outcome())
            co_await waiter->waitFor(1s);
    }
    co_return std::move(*waiter->outcome());
}

asio::awaitable<void> RequestHandler::serve()
{
    auto lastEnd = AttemptEnd::NotSent;
    while (true) {
        auto outcome = co_await acquire();
        if (auto* refusal = std::get_if<Dispatch::Refusal>(&*outcome)) {
            if (m_history.runs == 0 && !m_response.isStarted()) {
                co_await respondWithRefusal(*refusal);
                co_return;
            }
            m_retryRefusal = Dispatch::refusalName(refusal->reason);
            co_await respondWithFailure(lastEnd);
            co_return;
        }
        auto& lease = std::get<Dispatch::Lease>(*outcome);
        recordLease(lease);
        auto attempted = finishedAs(AttemptResult::Abandoned);
        if (!m_disconnectMonitor->callerDisconnected())
            attempted = co_await attempt(lease);
        Dispatch::Commands::releaseTarget(m_context.dispatch, m_traits.service, lease.target->entry.id, attempted.result, m_context.clock.now());
        recordEvidence(attempted, lease.target->entry.id);
        if (m_disconnectMonitor->callerDisconnected() && !m_finished) {
            logFinished(Events::requestAbandoned, 0, "caller_left");
            co_return;
        }
        if (attempted.finished)
            co_return;
        lastEnd = attempted.end;
        m_traits.triedTargets.push_back(lease.target->entry.id);
        bool retry = m_traits.deadline > m_context.clock.now() && Dispatch::Queries::mayRetry(*m_traits.route, m_history, lastEnd);
        logFailedAttempt(attempted, retry);
        if (!retry) {
            co_await respondWithFailure(lastEnd);
            co_return;
        }
    }
}

void RequestHandler::recordLease(const Dispatch::Lease& lease)
{
    m_waited += lease.waited;
    m_occupancy = lease.occupancy;
    m_expectedWeights = lease.expectedWeights.value_or(0);
    m_lastTarget = lease.target->entry.id;
    m_eventArrivals = 0;
    m_lastHeardAt = m_context.clock.now();
}

void RequestHandler::logFailedAttempt(const AttemptOutcome& attempted, bool retry)
{
    auto end = Dispatch::Queries::attemptEndName(attempted.end);
    m_context.metrics.count("attempts_failed_total", { { "end", std::string(end) } });
    if (!Observability::isLogged(Events::attemptFailed))
        return;
    Observability::logEvent(Events::attemptFailed,
        { { "request", m_head.requestId }, { "target", m_lastTarget }, { "end", end }, { "status", attempted.status }, { "attempts", m_history.attempts },
            { "runs", m_history.runs }, { "repeat", retry }, { "arrivals", m_eventArrivals }, { "silent_for", silentFor() }, { "time_left", timeLeft() }, { "parts", formatParts(m_traits.sharedParts) } });
}

void RequestHandler::countEvents()
{
    ++m_eventArrivals;
    m_lastHeardAt = m_context.clock.now();
    if (m_eventArrivals == arrivalsOfSoundPrompt)
        Dispatch::Commands::recordPartsServed(m_context.dispatch, m_traits.sharedParts, m_context.clock.now());
}

void RequestHandler::recordEvidence(const AttemptOutcome& attempted, const std::string& target)
{
    auto now = m_context.clock.now();
    if (attempted.finished) {
        if (attempted.result == AttemptResult::Served)
            Dispatch::Commands::recordPartsServed(m_context.dispatch, m_traits.sharedParts, now);
        return;
    }
    if (attempted.end != AttemptEnd::Broken || m_disconnectMonitor->callerDisconnected())
        return;
    std::vector<uint64_t> suspectParts;
    if (m_eventArrivals < arrivalsOfSoundPrompt) {
        for (auto& part : m_traits.sharedParts)
            suspectParts.push_back(part.id);
    }
    Dispatch::Commands::recordBrokenRun(m_context.dispatch, m_traits.fingerprint, m_traits.service, target, now, std::move(suspectParts));
}

Http::HttpRequest RequestHandler::forwardedHead(const Dispatch::Lease& lease) const
{
    ForwardedFields forwarding;
    forwarding.timeLeft = timeLeft();
    forwarding.expectedTarget = lease.target->entry.id;
    if (m_organisation)
        forwarding.organisation = m_organisation->name;
    forwarding.priority = std::clamp(m_traits.priority, 0, lowestPriority);
    forwarding.expectedWeights = lease.expectedWeights;
    if (m_response.isStarted())
        forwarding.lastEventId = m_response.lastEventId();
    Http::HttpRequest request;
    request.method = m_request.method;
    request.target = m_request.target;
    request.headers = m_context.protocol.forwardedHeaders(m_request.headers, forwarding);
    return request;
}

RequestHandler::AttemptOutcome RequestHandler::failedAs(AttemptEnd end, unsigned status) const
{
    bool hasResponse = end == AttemptEnd::NotExecuted || end == AttemptEnd::ErrorResponse;
    // The attempt was cancelled, which says nothing about the target.
    if (!hasResponse && m_disconnectMonitor->callerDisconnected())
        return { false, end, AttemptResult::Abandoned };
    switch (end) {
    case AttemptEnd::NotExecuted:
        return { false, end, status == misdirectedStatus ? AttemptResult::Misdirected : AttemptResult::Rejected, status };
    case AttemptEnd::ErrorResponse:
        return { false, end, AttemptResult::ErrorResponse, status };
    case AttemptEnd::TimedOut:
        // The caller's deadline may have been too short, so the target is not at fault.
        return { false, end, m_context.clock.now() >= m_traits.deadline ? AttemptResult::Abandoned : AttemptResult::Failed };
    case AttemptEnd::NotSent:
        return { false, end, AttemptResult::Unreachable };
    case AttemptEnd::Broken:
        break;
    }
    return { false, end, AttemptResult::Failed };
}

RequestHandler::AttemptOutcome RequestHandler::finishedAs(AttemptResult result) const
{
    return { true, AttemptEnd::Broken, result };
}

// A request that is still being sent, or waits at an engine, when the weights expire is withdrawn, so that it does not begin
// on them.
Base::TimePoint RequestHandler::withdrawnBy(const Dispatch::Lease& lease) const
{
    if (!lease.beginBy)
        return m_traits.deadline;
    return std::min<Base::TimePoint>(m_traits.deadline, *lease.beginBy - withdrawalTime);
}

asio::awaitable<RequestHandler::AttemptOutcome> RequestHandler::attempt(const Dispatch::Lease& lease)
{
    TargetExchange exchange(m_context, m_worker, *m_disconnectMonitor, *lease.target, m_head.requestId);
    ++m_history.attempts;
    auto failure = co_await exchange.send(forwardedHead(lease), m_request.body, mayRetry(), withdrawnBy(lease));
    if (failure == AttemptEnd::NotSent)
        co_return failedAs(*failure);
    m_reachedTarget = true;
    ++m_history.runs;
    if (!failure)
        failure = co_await exchange.readHead(m_request.method == "HEAD", std::min(retryTime(), withdrawnBy(lease)));
    if (failure)
        co_return failedAs(*failure);
    recordStatement(lease.target->entry, exchange.response().head.statement);
    auto outcome = co_await relay(exchange);
    exchange.releaseConnection();
    co_return outcome;
}

void RequestHandler::recordStatement(const Fleet::TargetEntry& target, const Dispatch::TargetStatement& statement)
{
    auto learned = Dispatch::Commands::recordStatement(m_context.dispatch, m_traits.service, target, statement, m_context.clock.now());
    if (learned.isNewlyLeaving)
        Observability::logEvent(Events::targetLeaving, { { "target", target.id }, { "service", m_traits.service }, { "incarnation", target.startedAt }, { "request", m_head.requestId } });
    if (learned.heldBackFor)
        Observability::logEvent(Events::targetHeldBack, { { "target", target.id }, { "service", m_traits.service }, { "incarnation", target.startedAt }, { "request", m_head.requestId }, { "asked", *statement.retryAfter }, { "held_back_for", *learned.heldBackFor } });
}

asio::awaitable<RequestHandler::AttemptOutcome> RequestHandler::relay(TargetExchange& exchange)
{
    auto& response = exchange.response();
    if (response.head.notExecuted && impliesNotExecuted(response.status)) {
        --m_history.runs;
        // Without the rest of the refusal only the connection is lost.
        auto until = std::min(m_traits.deadline, m_context.clock.now() + refusalBodyTimeout);
        co_await exchange.discardBody(maximumRefusalBytes, until);
        co_return failedAs(AttemptEnd::NotExecuted, response.status);
    }
    bool isSuccess = response.status >= 200 && response.status < 300;
    // A success without a seal does not come from the target. A status that implies that the request did not run must
    // not be forwarded unless the target stated so explicitly.
    if ((isSuccess && !response.head.sealed) || impliesNotExecuted(response.status))
        co_return failedAs(AttemptEnd::ErrorResponse, response.status);
    if (isServerError(response.status) && Dispatch::Queries::mayRetry(*m_traits.route, m_history, AttemptEnd::ErrorResponse))
        co_return failedAs(AttemptEnd::ErrorResponse, response.status);
    // The caller has a part of an event stream; nothing else may follow.
    if (m_response.isStarted() && !(isSuccess && isEventStream(response.headers)))
        co_return failedAs(AttemptEnd::ErrorResponse, response.status);
    if (isSuccess && m_traits.route->kind == Fleet::RequestKind::Stream)
        co_return co_await forwardEvents(exchange);
    co_return co_await forward(exchange);
}

RequestHandler::AttemptOutcome RequestHandler::outcomeOf(const CallerResponse::Forwarded& forwarded, unsigned status, std::string_view reason)
{
    if (forwarded.failure)
        return failedAs(*forwarded.failure);
    logFinished(forwarded.callerLeft ? Events::requestAbandoned : Events::requestServed, status, reason);
    if (forwarded.callerLeft)
        return finishedAs(AttemptResult::Abandoned);
    return finishedAs(isServerError(status) ? AttemptResult::ErrorResponse : AttemptResult::Served);
}

asio::awaitable<RequestHandler::AttemptOutcome> RequestHandler::forward(TargetExchange& exchange)
{
    auto forwarded = co_await m_response.forward(exchange, retryTime(), m_traits.deadline);
    m_history.cannotResume = m_response.isStarted();
    co_return outcomeOf(forwarded, exchange.response().status, "answered");
}

asio::awaitable<RequestHandler::AttemptOutcome> RequestHandler::forwardEvents(TargetExchange& exchange)
{
    if (m_traits.requiredWeights == 0)
        m_traits.requiredWeights = exchange.response().head.weights.value_or(0);
    std::optional<Base::Duration> eventTimeout;
    if (mayRetry())
        eventTimeout = std::max(minimumResponseTimeout, m_traits.route->maximumEventGap * responseTimeoutFactor);
    auto forwarded = co_await m_response.forwardEvents(exchange, m_traits.deadline, eventTimeout, [this] { countEvents(); });
    m_history.cannotResume = m_response.isStarted() && !m_response.canContinue();
    co_return outcomeOf(forwarded, exchange.response().status, "streamed");
}

asio::awaitable<void> RequestHandler::respondWithError(unsigned status, const char* code, std::optional<std::chrono::milliseconds> retryAfter)
{
    Http::HttpResponse response;
    response.status = status;
    response.headers = { { "Content-Type", "application/json" } };
    if (retryAfter)
        response.headers.push_back({ "Retry-After", formatSeconds(*retryAfter) });
    response.body = std::string(R"({"error":")") + code + "\"}";
    co_await m_response.send(response);
    bool isDenial = status >= 400 && status < 429;
    logFinished(isDenial ? Events::requestDenied : status == 503 ? Events::requestRefused
                                                                 : Events::requestFailed,
        status, code);
}

// A configuration that is in force elsewhere may allow the request.
asio::awaitable<void> RequestHandler::deny(unsigned status, const char* code)
{
    auto maximumAge = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.dispatch.bounds().configuration * usableConfigurationShare);
    bool isOutdated = Fleet::Queries::mayBeOutdated(m_context.fleet, maximumAge, m_context.clock.now());
    if (isOutdated)
        co_await respondWithError(503, "configuration_outdated", outdatedConfigurationRetryAfter);
    else
        co_await respondWithError(status, code);
}

asio::awaitable<void> RequestHandler::respondWithRefusal(const Dispatch::Refusal& refusal)
{
    auto name = Dispatch::refusalName(refusal.reason);
    co_await respondWithError(503, name.data(), refusal.retryAfter);
}

asio::awaitable<void> RequestHandler::respondWithFailure(AttemptEnd end)
{
    if (m_disconnectMonitor->callerDisconnected()) {
        logFinished(Events::requestAbandoned, 0, "caller_left");
        co_return;
    }
    if (m_response.isStarted()) {
        m_response.abort();
        logFinished(Events::requestFailed, 0, "stream_broken");
        co_return;
    }
    if (m_history.runs == 0) {
        Dispatch::Refusal refusal { Dispatch::RefusalReason::NoTarget, noConfigurationRetryAfter };
        co_await respondWithRefusal(refusal);
        co_return;
    }
    bool isLate = m_context.clock.now() >= m_traits.deadline;
    co_await respondWithError(isLate || end == AttemptEnd::TimedOut ? 504 : 502, isLate ? "timeout" : "target_failed");
}

void RequestHandler::logFinished(const Observability::Event& event, unsigned status, std::string_view reason)
{
    auto route = m_traits.route ? m_traits.route->name : std::string();
    m_finished = true;
    countFinished(event, reason);
    if (!Observability::isLogged(event))
        return;
    Observability::logEvent(event,
        { { "request", m_head.requestId }, { "route", route }, { "organisation", m_organisation ? m_organisation->name : std::string() },
            { "target", m_lastTarget }, { "status", status }, { "reason", reason }, { "repeat_refused", m_retryRefusal }, { "attempts", m_history.attempts }, { "runs", m_history.runs },
            { "waited", m_waited }, { "occupancy", m_occupancy }, { "first_byte", timeToFirstByte() }, { "elapsed", elapsed() }, { "time_left", timeLeft() }, { "weights", m_traits.requiredWeights }, { "weights_expected", m_expectedWeights }, { "configuration", m_snapshot && m_snapshot->configuration ? m_snapshot->configuration->version : 0 },
            { "revision", m_snapshot ? m_snapshot->revision : 0 } });
}

void RequestHandler::countFinished(const Observability::Event& event, std::string_view reason)
{
    auto seconds = [](std::chrono::milliseconds duration) { return std::chrono::duration<double>(duration).count(); };
    std::string outcome(event.name);
    m_context.metrics.count("requests_total", { { "outcome", outcome }, { "reason", std::string(reason) } });
    m_context.metrics.observe("request_seconds", { { "outcome", outcome } }, seconds(elapsed()));
    if (m_history.attempts > 0)
        m_context.metrics.observe("request_wait_seconds", {}, seconds(m_waited));
    if (m_response.isStarted())
        m_context.metrics.observe("first_byte_seconds", {}, seconds(timeToFirstByte()));
}

std::chrono::milliseconds RequestHandler::elapsed() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_context.clock.now() - m_traits.arrivedAt);
}

std::chrono::milliseconds RequestHandler::silentFor() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_context.clock.now() - m_lastHeardAt);
}

std::chrono::milliseconds RequestHandler::timeToFirstByte() const
{
    if (!m_response.isStarted())
        return 0ms;
    return std::chrono::duration_cast<std::chrono::milliseconds>(*m_response.firstByteAt() - m_traits.arrivedAt);
}

Base::TimePoint RequestHandler::retryTime() const
{
    if (!mayRetry())
        return m_traits.deadline;
    auto responseTimeout = std::max(minimumResponseTimeout, m_traits.route->targetLatency * responseTimeoutFactor);
    return std::min(m_traits.deadline, m_context.clock.now() + responseTimeout);
}

std::chrono::milliseconds RequestHandler::timeLeft() const
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_traits.deadline - m_context.clock.now());
    return std::max(left, 1ms);
}

} // namespace Lavenderloft::Proxy
