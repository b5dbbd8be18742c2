#include "Proxy/ReplacementAttempt.h"

#include "Http/SpawnTask.h"
#include "Observability/Log.h"
#include "Proxy/AcquireLease.h"
#include "Proxy/CallerResponse.h"
#include "Proxy/Events.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
using Dispatch::Queries::AttemptEnd;

ReplacementAttempt::ReplacementAttempt(std::shared_ptr<ProxyRequest> request, Observer& observer, EventSplitter position, std::optional<uint64_t> lastEventId, bool isContinuation)
    : m_request(std::move(request))
    , m_observer(observer)
    , m_position(std::move(position))
    , m_lastEventId(lastEventId)
    , m_isContinuation(isContinuation)
    , m_silence(std::make_shared<SilenceTimer>(m_request->worker.context, [this] { targetSilent(); }))
    , m_waiter(std::make_shared<LeaseWaiter>(m_request->worker.context))
    , m_ended(m_request->worker.context, asio::steady_timer::time_point::max())
{
    m_position.startRun();
}

void ReplacementAttempt::start()
{
    Http::spawnTask(m_request->worker.context, "replacement-attempt", [self = shared_from_this()] { return self->run(); });
}

void ReplacementAttempt::abandon()
{
    bool isReady = m_state == State::Ready;
    m_state = State::Abandoned;
    if (isReady)
        discardAttempt();
    m_waiter->cancel();
    if (m_attempt)
        m_attempt->cancel();
    m_ended.cancel();
}

asio::awaitable<void> ReplacementAttempt::waitUntilEnded()
{
    auto self = shared_from_this();
    boost::system::error_code ignored;
    while (m_state == State::Waiting || m_state == State::Running)
        co_await m_ended.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> ReplacementAttempt::run()
{
    auto self = shared_from_this();
    // Also when an exception ends this coroutine; the request would otherwise wait for the attempt until its deadline.
    std::shared_ptr<void> endOfRun(nullptr, [this](void*) { endIfUnfinished(); });
    co_await attempt();
}

asio::awaitable<void> ReplacementAttempt::attempt()
{
    co_await acquire();
    if (isAbandoned())
        co_return;
    if (!m_attempt) {
        end(State::Failed);
        co_return;
    }
    m_state = State::Running;
    auto failure = co_await sendAndRead();
    m_silence->stop();
    if (isAbandoned()) {
        discardAttempt();
        co_return;
    }
    if (failure)
        fail(*failure);
    else
        end(State::Ready);
}

asio::awaitable<void> ReplacementAttempt::acquire()
{
    auto outcome = co_await acquireLease(m_request, m_waiter);
    if (auto* refusal = std::get_if<Dispatch::Refusal>(&*outcome))
        m_refusal = *refusal;
    else
        m_attempt = std::make_unique<TargetAttempt>(m_request, std::move(std::get<Dispatch::Lease>(*outcome)));
    // A lease that was granted as the replacement was abandoned goes back.
    if (isAbandoned())
        discardAttempt();
}

asio::awaitable<TargetAttempt::Failure> ReplacementAttempt::sendAndRead()
{
    auto failure = co_await m_attempt->send(m_lastEventId);
    if (failure || isAbandoned())
        co_return failure;
    m_silence->arm(m_attempt->silenceLimit());
    failure = co_await m_attempt->readHead();
    if (failure || isAbandoned())
        co_return failure;
    if (m_attempt->isNotExecuted())
        co_return AttemptEnd::NotExecuted;
    if (!isForwardable())
        co_return AttemptEnd::ErrorResponse;
    failure = co_await readFirstPart();
    co_return failure;
}

bool ReplacementAttempt::isForwardable() const
{
    auto& response = m_attempt->exchange().response();
    bool isServerError = response.status >= 500;
    bool isFinalError = response.head.sealed && !isServerError && !impliesNotExecuted(response.status);
    return m_attempt->isSuccess() || (isFinalError && !m_isContinuation);
}

asio::awaitable<TargetAttempt::Failure> ReplacementAttempt::readFirstPart()
{
    TargetAttempt::Failure failure;
    bool isStream = m_attempt->isSuccess() && m_request->traits.route->kind == Fleet::RequestKind::Stream;
    if (!isStream)
        failure = co_await readBody();
    else if (m_attempt->isEventStream())
        failure = co_await readFirstEvent();
    else
        failure = AttemptEnd::ErrorResponse;
    co_return failure;
}

asio::awaitable<TargetAttempt::Failure> ReplacementAttempt::readBody()
{
    auto& exchange = m_attempt->exchange();
    auto& body = m_attempt->received;
    while (!exchange.isComplete() && body.size() < CallerResponse::maximumHeldBytes) {
        auto failure = co_await exchange.readBody(body, m_request->traits.deadline);
        if (failure || isAbandoned())
            co_return failure;
    }
    co_return std::nullopt;
}

asio::awaitable<TargetAttempt::Failure> ReplacementAttempt::readFirstEvent()
{
    auto& exchange = m_attempt->exchange();
    std::string bytes;
    while (!exchange.isComplete()) {
        bytes.clear();
        auto failure = co_await exchange.readBody(bytes, m_request->traits.deadline);
        if (failure || isAbandoned())
            co_return failure;
        m_attempt->received += bytes;
        auto events = m_position.take(bytes);
        if (m_position.isMisplaced() || m_position.isEventTooLong())
            co_return AttemptEnd::Broken;
        if (!events.empty())
            co_return std::nullopt;
    }
    // A stream that ends without another event is complete, unless it stopped inside one.
    co_return m_position.hasIncompleteEvent() ? TargetAttempt::Failure(AttemptEnd::Broken) : std::nullopt;
}

void ReplacementAttempt::targetSilent()
{
    m_attempt->recordSilence();
    if (!isAbandoned())
        m_observer.replacementSilent(*this);
}

void ReplacementAttempt::discardAttempt()
{
    if (auto attempt = std::move(m_attempt))
        attempt->abandon();
}

void ReplacementAttempt::fail(AttemptEnd failure)
{
    auto status = m_attempt->hasHead() ? m_attempt->exchange().response().status : 0;
    m_attempt->release(m_attempt->failedAs(failure, status));
    m_attempt.reset();
    end(State::Failed);
}

void ReplacementAttempt::endIfUnfinished()
{
    bool isUnfinished = m_state == State::Waiting || m_state == State::Running;
    if (!isUnfinished || m_request->isLoopStopped())
        return;
    Http::guardTask("replacement-attempt", [this] {
        m_silence->stop();
        discardAttempt();
        end(State::Failed);
    });
}

void ReplacementAttempt::end(State state)
{
    m_state = state;
    m_ended.cancel();
    m_observer.replacementEnded(*this);
}

} // namespace Lavenderloft::Proxy
