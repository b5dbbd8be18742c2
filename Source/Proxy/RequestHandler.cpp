#include "Proxy/RequestHandler.h"

#include "Base/RendezvousHash.h"
#include "Fleet/Queries/FindUrgency.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Http/TaskFailures.h"
#include "Proxy/AcquireLease.h"
#include "Proxy/Events.h"

#include <algorithm>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Dispatch::Commands::AttemptResult;

namespace {

    using namespace std::chrono_literals;

    // Used if the caller sends no deadline.
    constexpr std::chrono::milliseconds defaultDeadline = 30000ms;
    // Matches no region; an empty list would allow all regions.
    const std::string noRegion;
    constexpr size_t maximumRefusalBytes = 16 * 1024;
    // Time for the body of a refusal whose head has arrived.
    constexpr std::chrono::milliseconds refusalBodyTimeout = 100ms;
    // Memory of the parts of a prompt that is counted with the connection.
    constexpr size_t usualPartBytes = 4 * 1024;
    // The parts are kept with the request, and once more while it waits for a target.
    constexpr size_t partCopies = 2;
    // Until a retry that the budget did not allow is tried again.
    constexpr std::chrono::milliseconds retryBudgetInterval = 200ms;

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

    bool isServerError(unsigned status)
    {
        return status >= 500;
    }

} // namespace

RequestHandler::RequestHandler(ProxyContext& context, ProxyWorker& worker, beast::tcp_stream& caller, Http::HttpRequest request, bool keepAlive)
    : m_context(context)
    , m_request(std::make_shared<ProxyRequest>(context, worker, caller.socket(), std::move(request)))
    , m_response(context, caller, m_request->message.method, keepAlive)
    , m_log(m_request, m_response)
    , m_responder(m_request, m_response, m_log)
    , m_silence(std::make_shared<SilenceTimer>(worker.context, [this] { targetSilent(); }))
{
    m_request->traits.arrivedAt = context.clock.now();
    worker.openRequests.insert(this);
}

RequestHandler::~RequestHandler()
{
    // After an exception; they refer to this object as their observer.
    if (!m_request->isLoopStopped())
        Http::guardTask("abandon-replacements", [this] { abandonReplacements(); });
    m_silence->stop();
    m_request->disconnectMonitor->stop();
    if (!m_request->isLoopStopped())
        m_request->worker.openRequests.erase(this);
}

asio::awaitable<bool> RequestHandler::run()
{
    m_response.awaitCaller();
    m_request->disconnectMonitor->start();
    bool isAllowed = co_await resolve();
    if (isAllowed)
        co_await serve();
    abandonReplacements();
    m_request->disconnectMonitor->stop();
    bool mayKeep = m_response.mayKeepConnection() && !m_request->callerDisconnected();
    co_return mayKeep;
}

asio::awaitable<void> RequestHandler::refuseForMemory()
{
    co_await m_responder.refuseForMemory();
}

asio::awaitable<bool> RequestHandler::resolve()
{
    auto view = Fleet::Queries::currentView(m_context.fleet);
    m_request->snapshot = std::move(view.snapshot);
    m_request->completeness = std::move(view.completeness);
    if (m_context.closing) {
        co_await m_responder.refuseForStop();
        co_return false;
    }
    if (!m_request->snapshot->configuration) {
        co_await m_responder.refuseWithoutConfiguration();
        co_return false;
    }
    auto& configuration = *m_request->snapshot->configuration;
    auto host = withoutPort(Http::headerValue(m_request->message.headers, "Host"));
    m_request->traits.route = Fleet::Queries::matchRoute(configuration, host, pathOf(m_request->message.target));
    if (!m_request->traits.route) {
        co_await m_responder.deny(404, "no_route");
        co_return false;
    }
    if (configuration.hasOrganisations && !m_request->traits.route->isPublic) {
        m_request->organisation = Fleet::Queries::findOrganisation(configuration, m_request->head.key.value_or(""));
        if (!m_request->organisation) {
            co_await m_responder.deny(401, "unknown_key");
            co_return false;
        }
    }
    prepareTraits();
    bool hasMemory = prepareParts();
    if (!hasMemory)
        co_await m_responder.refuseForMemory();
    co_return hasMemory;
}

void RequestHandler::prepareTraits()
{
    auto& traits = m_request->traits;
    auto& route = *traits.route;
    auto& message = m_request->message;
    auto* organisation = m_request->organisation.get();
    traits.service = chooseService(route, m_request->head.requestId);
    traits.priority = Fleet::Queries::findUrgency(*m_request->snapshot->configuration, route, organisation);
    traits.allowedRegions = commonRegions(route.allowedRegions, organisation ? organisation->allowedRegions : std::vector<std::string>());
    traits.organisation = organisation ? organisation->name : std::string();
    traits.size = { m_request->head.promptTokens, m_request->head.estimatedOutputTokens.value_or(m_request->head.maximumOutputTokens) };
    traits.fingerprint = Base::stableHash(traits.organisation + '\0' + message.method + '\0' + message.target + '\0' + message.body);
    auto deadline = m_request->head.deadline.value_or(defaultDeadline);
    if (route.timeout > 0ms)
        deadline = std::min(deadline, route.timeout);
    traits.deadline = traits.arrivedAt + deadline;
}

// The last part belongs to the request alone.
bool RequestHandler::prepareParts()
{
    auto& shared = m_request->traits.sharedParts;
    shared = std::exchange(m_request->head.promptParts, {});
    if (!shared.empty())
        shared.pop_back();
    shared.shrink_to_fit();
    auto bytes = partCopies * shared.capacity() * sizeof(Dispatch::PromptPart);
    return m_request->partMemory.growTo(bytes - std::min(bytes, usualPartBytes));
}

asio::awaitable<std::optional<RequestHandler::NextAttempt>> RequestHandler::acquire()
{
    m_request->traits.isInterrupted = m_request->history.runs > 0;
    while (true) {
        m_waiter = std::make_shared<LeaseWaiter>(m_request->worker.context);
        auto outcome = co_await acquireLease(m_request, m_waiter);
        if (auto* lease = std::get_if<Dispatch::Lease>(&*outcome)) {
            NextAttempt next = std::make_unique<TargetAttempt>(m_request, std::move(*lease));
            co_return next;
        }
        auto refusal = std::get<Dispatch::Refusal>(*outcome);
        // The budget recovers within its window.
        bool mayWait = refusal.reason == Dispatch::RefusalReason::RetryBudget && m_request->traits.isInterrupted && m_request->timeLeft() > retryBudgetInterval;
        if (!mayWait || m_isStopping || m_request->callerDisconnected()) {
            NextAttempt next = refusal;
            co_return next;
        }
        auto registration = m_request->disconnectMonitor->callOnDisconnect([waiter = m_waiter] { waiter->cancel(); });
        co_await m_waiter->waitFor(retryBudgetInterval);
    }
}

asio::awaitable<std::unique_ptr<TargetAttempt>> RequestHandler::takeReplacement()
{
    std::unique_ptr<TargetAttempt> attempt;
    while (!attempt && !m_replacements.empty()) {
        auto replacement = m_replacements.back();
        co_await replacement->waitUntilEnded();
        attempt = replacement->take();
        std::erase(m_replacements, replacement);
    }
    m_isSuperseded = false;
    co_return attempt;
}

asio::awaitable<std::optional<RequestHandler::NextAttempt>> RequestHandler::nextAttempt()
{
    if (!m_replacements.empty()) {
        auto replacement = co_await takeReplacement();
        if (replacement) {
            NextAttempt next = std::move(replacement);
            co_return next;
        }
        if (!mayRetry(AttemptEnd::TimedOut))
            co_return std::nullopt;
    }
    auto next = co_await acquire();
    co_return next;
}

asio::awaitable<void> RequestHandler::serve()
{
    auto lastEnd = AttemptEnd::NotSent;
    while (true) {
        auto next = co_await nextAttempt();
        if (m_isStopping) {
            co_await m_responder.endForStop();
            co_return;
        }
        auto* refusal = next ? std::get_if<Dispatch::Refusal>(&*next) : nullptr;
        if (!next || refusal) {
            if (refusal && m_request->history.runs == 0 && !m_response.isStarted()) {
                co_await m_responder.refuse(*refusal);
                co_return;
            }
            if (refusal)
                m_log.retryRefused(Dispatch::refusalName(refusal->reason));
            co_await m_responder.fail(lastEnd);
            co_return;
        }
        auto current = std::move(std::get<std::unique_ptr<TargetAttempt>>(*next));
        auto outcome = co_await attempt(*current);
        if (m_request->callerDisconnected() && !m_log.isFinished()) {
            m_log.finished(Events::requestAbandoned, 0, "caller_left");
            co_return;
        }
        if (outcome.finished)
            co_return;
        lastEnd = outcome.end;
        bool isRetried = !m_isStopping && (!m_replacements.empty() || mayRetry(lastEnd));
        m_log.attemptFailed(*current, outcome, isRetried);
        if (m_isStopping) {
            co_await m_responder.endForStop();
            co_return;
        }
        if (!isRetried) {
            co_await m_responder.fail(lastEnd);
            co_return;
        }
    }
}

bool RequestHandler::mayRetry(AttemptEnd end) const
{
    return m_request->traits.deadline > m_request->now() && Dispatch::Queries::mayRetry(*m_request->traits.route, m_request->history, end);
}

asio::awaitable<AttemptOutcome> RequestHandler::attempt(TargetAttempt& attempt)
{
    m_log.attemptStarted(attempt.lease());
    m_current = &attempt;
    AttemptOutcome outcome { true, AttemptEnd::Broken, AttemptResult::Abandoned };
    if (!m_request->callerDisconnected())
        outcome = co_await exchange(attempt);
    m_current = nullptr;
    m_silence->disarm();
    // The attempt was ended by this router, so how it failed says nothing of its target.
    if (m_isStopping && !outcome.finished)
        outcome.result = AttemptResult::Abandoned;
    else if (m_isSuperseded && !outcome.finished)
        outcome = { false, AttemptEnd::TimedOut, AttemptResult::Superseded };
    attempt.release(outcome);
    co_return outcome;
}

asio::awaitable<AttemptOutcome> RequestHandler::exchange(TargetAttempt& attempt)
{
    if (!attempt.hasHead()) {
        auto lastEventId = m_response.isStarted() ? m_response.lastEventId() : std::nullopt;
        auto failure = co_await attempt.send(lastEventId);
        if (!failure && m_isStopping)
            failure = AttemptEnd::Broken;
        if (!failure) {
            watchSilence();
            failure = co_await attempt.readHead();
        }
        if (failure)
            co_return attempt.failedAs(*failure);
    }
    auto outcome = co_await relay(attempt);
    co_return outcome;
}

asio::awaitable<AttemptOutcome> RequestHandler::relay(TargetAttempt& attempt)
{
    auto status = attempt.exchange().response().status;
    if (attempt.isNotExecuted()) {
        // Without the rest of the refusal only the connection is lost.
        auto until = std::min(m_request->traits.deadline, m_request->now() + refusalBodyTimeout);
        co_await attempt.exchange().discardBody(maximumRefusalBytes, until);
        co_return attempt.failedAs(AttemptEnd::NotExecuted, status);
    }
    bool isSuccess = status >= 200 && status < 300;
    // A success without a seal does not come from the target. A status that implies that the request did not run must
    // not be forwarded unless the target stated so explicitly.
    if ((isSuccess && !attempt.isSuccess()) || impliesNotExecuted(status))
        co_return attempt.failedAs(AttemptEnd::ErrorResponse, status);
    if (isServerError(status) && (!m_replacements.empty() || mayRetry(AttemptEnd::ErrorResponse)))
        co_return attempt.failedAs(AttemptEnd::ErrorResponse, status);
    // The caller has a part of an event stream; nothing else may follow.
    if (m_response.isStarted() && !attempt.isEventStream())
        co_return attempt.failedAs(AttemptEnd::ErrorResponse, status);
    AttemptOutcome outcome;
    if (isSuccess && m_request->traits.route->kind == Fleet::RequestKind::Stream)
        outcome = co_await forwardEvents(attempt);
    else
        outcome = co_await forward(attempt);
    co_return outcome;
}

AttemptOutcome RequestHandler::outcomeOf(const TargetAttempt& attempt, const CallerResponse::Forwarded& forwarded, unsigned status, std::string_view reason)
{
    if (forwarded.failure)
        return attempt.failedAs(*forwarded.failure);
    m_log.finished(forwarded.callerLeft ? Events::requestAbandoned : Events::requestServed, status, reason);
    if (forwarded.callerLeft)
        return { true, AttemptEnd::Broken, AttemptResult::Abandoned };
    return { true, AttemptEnd::Broken, isServerError(status) ? AttemptResult::ErrorResponse : AttemptResult::Served };
}

asio::awaitable<AttemptOutcome> RequestHandler::forward(TargetAttempt& attempt)
{
    auto forwarded = co_await m_response.forward(attempt.exchange(), std::exchange(attempt.received, {}), m_request->traits.deadline, *this);
    m_request->history.cannotResume = m_response.isStarted();
    co_return outcomeOf(attempt, forwarded, attempt.exchange().response().status, "answered");
}

asio::awaitable<AttemptOutcome> RequestHandler::forwardEvents(TargetAttempt& attempt)
{
    auto& traits = m_request->traits;
    if (traits.requiredWeights == 0)
        traits.requiredWeights = attempt.exchange().response().head.weights.value_or(0);
    auto forwarded = co_await m_response.forwardEvents(attempt.exchange(), std::exchange(attempt.received, {}), traits.deadline, *this);
    m_request->history.cannotResume = m_response.isStarted() && !m_response.canContinue();
    co_return outcomeOf(attempt, forwarded, attempt.exchange().response().status, "streamed");
}

bool RequestHandler::awaitPart()
{
    m_current->awaitPart();
    if (m_current->parts() > 0 && !m_isStopping && !m_current->exchange().isComplete())
        watchSilence();
    return !m_isStopping;
}

void RequestHandler::partReceived()
{
    m_silence->disarm();
    if (std::exchange(m_isSuperseded, false))
        m_current->goOn();
    abandonReplacements();
    m_current->recordPart();
}

// The silence of a target that alone may run the request changes nothing, so it is not watched.
void RequestHandler::watchSilence()
{
    if (m_request->isRepeatable())
        m_silence->arm(m_current->silenceLimit());
}

void RequestHandler::targetSilent()
{
    m_current->recordSilence();
    bool isReplaced = mayReplace();
    m_log.attemptSilent(*m_current, m_current->silenceLimit(), isReplaced ? "replace" : "wait");
    if (isReplaced)
        startReplacement();
}

void RequestHandler::startReplacement()
{
    // The target may never respond, and the wait ends if it does.
    m_request->traits.isInterrupted = true;
    auto lastEventId = m_response.isStarted() ? m_response.lastEventId() : std::nullopt;
    ReplacementAttempt::Observer& observer = *this;
    m_replacements.push_back(std::make_shared<ReplacementAttempt>(m_request, observer, m_response.events(), lastEventId, m_response.isStarted()));
    m_replacements.back()->start();
}

bool RequestHandler::mayReplace() const
{
    bool canContinue = !m_response.isStarted() || (m_request->traits.route->kind == Fleet::RequestKind::Stream && m_response.canContinue());
    // Another target is no help if it takes as long as is left.
    auto limits = Dispatch::Queries::findSilenceLimits(m_context.dispatch, m_request->traits, m_request->now());
    bool isInTime = m_request->timeLeft() > limits.typicalFirstPart;
    return canContinue && isInTime && mayRetry(AttemptEnd::TimedOut);
}

void RequestHandler::replacementSilent(ReplacementAttempt& replacement)
{
    bool isLast = &replacement == m_replacements.back().get();
    if (isLast && mayReplace())
        startReplacement();
}

void RequestHandler::replacementEnded(ReplacementAttempt& replacement)
{
    bool isReady = replacement.state() == ReplacementAttempt::State::Ready;
    auto& refusal = replacement.refusal();
    auto result = isReady ? "ready" : refusal ? "refused"
                                              : "failed";
    m_log.replacementEnded(result, refusal ? Dispatch::refusalName(refusal->reason) : "");
    if (!isReady) {
        std::erase_if(m_replacements, [&](auto& other) { return other.get() == &replacement; });
        if (m_current && m_replacements.empty())
            watchSilence();
        return;
    }
    for (auto& other : m_replacements) {
        if (other.get() != &replacement)
            other->abandon();
    }
    // Without a current attempt, serve() waits for the replacement.
    m_isSuperseded = m_current != nullptr;
    if (m_current)
        m_current->cancel();
}

void RequestHandler::endForStop()
{
    m_isStopping = true;
    m_silence->stop();
    for (auto& replacement : m_replacements)
        replacement->abandon();
    if (m_waiter)
        m_waiter->cancel();
    if (m_current)
        m_current->cancel();
}

void RequestHandler::cutForStop()
{
    if (!m_log.isFinished())
        m_log.finished(Events::requestFailed, 0, "cut_at_stop");
    m_response.abort();
}

void RequestHandler::abandonReplacements()
{
    for (auto& replacement : std::exchange(m_replacements, {}))
        replacement->abandon();
}

} // namespace Lavenderloft::Proxy
