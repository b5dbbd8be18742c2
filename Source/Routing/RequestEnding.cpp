#include "Routing/RequestEnding.h"

#include "Streaming/Commands/ChargeStream.h"

#include <utility>

namespace Lavenderloft::Routing {

RequestEnding::RequestEnding(RoutingContext& context, const LiveRequest& request, const RequestLog& log, RequestState& state, ResponseForwarder& forwarder, ResponseWriter& writer)
    : m_context(context)
    , m_request(request)
    , m_log(log)
    , m_state(state)
    , m_forwarder(forwarder)
    , m_writer(writer)
{
}

void RequestEnding::fail(Lock lock, RoutingError error)
{
    if (m_state.response.isStarted)
        return abort(std::move(lock), error.message);
    if (m_state.history.mayHaveRun && error.outcome == Outcome::NotRun)
        error.outcome = Outcome::Unknown;
    m_log.failed(error);
    auto attempt = finish("failed");
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_writer.reject(m_request.id, error);
}

void RequestEnding::abort(Lock lock, const std::string& reason)
{
    m_log.aborted(reason);
    abortWriter(std::move(lock), "cut");
}

void RequestEnding::callerGone(Lock lock)
{
    abortWriter(std::move(lock), "caller-gone");
}

void RequestEnding::abortWriter(Lock lock, const char* result)
{
    auto attempt = finish(result);
    lock.unlock();
    if (attempt)
        attempt->cancel();
    m_writer.abort();
}

void RequestEnding::complete(Lock lock)
{
    bool isFirst = !std::exchange(m_state.response.isStarted, true);
    bool callerDisconnected = m_state.callerDisconnected;
    finish("complete");
    lock.unlock();
    if (callerDisconnected)
        return m_writer.abort();
    if (isFirst)
        m_writer.head(m_request.id, m_state.response.head);
    m_writer.complete();
    Streaming::Commands::resumeWaitingStream(m_context.byteBudget);
}

std::shared_ptr<Attempt> RequestEnding::finish(const char* result)
{
    auto attempt = m_state.attempt.release();
    m_state.phase = RequestState::Phase::Ended;
    m_forwarder.close();
    Streaming::Commands::releaseStream(m_context.requestBudget, m_request.id);
    m_context.running.erase(m_request.id);
    m_log.ended(result, m_context.clock.now() - m_state.startedAt);
    return attempt;
}

} // namespace Lavenderloft::Routing
