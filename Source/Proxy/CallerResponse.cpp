#include "Proxy/CallerResponse.h"

#include "Http/WireFormat.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Dispatch::Queries::AttemptEnd;

namespace {

    using namespace std::chrono_literals;

    // The connection is closed if a caller does not read a complete response within this time.
    constexpr std::chrono::seconds callerWriteTimeout = 10s;
    // Shortest time for a write, so that the end of a response is sent at its deadline.
    constexpr std::chrono::milliseconds minimumWriteTimeout = 1ms;

} // namespace

CallerResponse::CallerResponse(ProxyContext& context, beast::tcp_stream& caller, std::string method, bool keepAlive)
    : m_context(context)
    , m_caller(caller)
    , m_method(std::move(method))
    , m_keepAlive(keepAlive)
{
}

bool CallerResponse::decideKeepAlive()
{
    m_keepAlive = m_keepAlive && !m_context.draining;
    return m_keepAlive;
}

Base::Duration CallerResponse::timeUntil(Base::TimePoint time) const
{
    return std::max(time - m_context.clock.now(), Base::Duration(minimumWriteTimeout));
}

asio::awaitable<bool> CallerResponse::write(std::string_view bytes, Base::Duration timeout)
{
    beast::error_code error;
    m_caller.expires_after(timeout);
    co_await asio::async_write(m_caller, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    m_caller.expires_never();
    if (error)
        m_keepAlive = false;
    co_return !error;
}

void CallerResponse::abort()
{
    m_keepAlive = false;
    m_caller.close();
}

asio::awaitable<bool> CallerResponse::send(const Http::HttpResponse& response)
{
    auto bytes = Http::serializeResponse(response, decideKeepAlive(), m_method);
    bool written = co_await write(bytes, callerWriteTimeout);
    co_return written;
}

void CallerResponse::startParts(const TargetExchange::Response& response)
{
    m_pendingHead = Http::serializeStreamHead(response.status, m_context.protocol.returnedHeaders(response.headers), decideKeepAlive(), m_method);
    m_mayHaveBody = Http::mayHaveBody(m_method, response.status);
}

asio::awaitable<bool> CallerResponse::writeOfBody(std::string_view bytes, Base::TimePoint deadline)
{
    auto pending = std::exchange(m_pendingHead, {});
    if (m_mayHaveBody)
        pending += bytes;
    if (pending.empty())
        co_return true;
    bool written = co_await write(pending, timeUntil(deadline));
    co_return written;
}

asio::awaitable<bool> CallerResponse::writePart(std::string_view part, Base::TimePoint deadline)
{
    auto chunk = Http::serializeChunk(part);
    bool written = co_await writeOfBody(chunk, deadline);
    if (written && !m_firstByteAt)
        m_firstByteAt = m_context.clock.now();
    co_return written;
}

asio::awaitable<bool> CallerResponse::writeLastPart(Base::TimePoint deadline)
{
    bool written = co_await writeOfBody(Http::finalChunk, deadline);
    co_return written;
}

asio::awaitable<CallerResponse::Forwarded> CallerResponse::forward(TargetExchange& exchange, std::string received, Base::TimePoint deadline, ResponseListener& listener)
{
    Http::HttpResponse response;
    response.status = exchange.response().status;
    response.headers = m_context.protocol.returnedHeaders(exchange.response().headers);
    response.body = std::move(received);
    if (!listener.awaitPart())
        co_return Forwarded { AttemptEnd::Broken };
    while (!exchange.isComplete() && response.body.size() < maximumHeldBytes) {
        auto failure = co_await exchange.readBody(response.body, deadline);
        if (failure)
            co_return Forwarded { failure };
    }
    listener.partReceived();
    if (!exchange.isComplete()) {
        auto forwarded = co_await forwardParts(exchange, std::move(response.body), deadline);
        co_return forwarded;
    }
    bool written = co_await send(response);
    co_return Forwarded { std::nullopt, !written };
}

asio::awaitable<CallerResponse::Forwarded> CallerResponse::forwardParts(TargetExchange& exchange, std::string received, Base::TimePoint deadline)
{
    startParts(exchange.response());
    bool written = co_await writePart(received, deadline);
    while (written && !exchange.isComplete()) {
        received.clear();
        auto failure = co_await exchange.readBody(received, deadline);
        if (failure)
            co_return Forwarded { failure };
        if (!received.empty())
            written = co_await writePart(received, deadline);
    }
    if (!written)
        co_return Forwarded { std::nullopt, true };
    written = co_await writeLastPart(deadline);
    co_return Forwarded { std::nullopt, !written };
}

asio::awaitable<CallerResponse::Forwarded> CallerResponse::forwardEvents(TargetExchange& exchange, std::string received, Base::TimePoint deadline, ResponseListener& listener)
{
    m_events.startRun();
    if (!isStarted())
        startParts(exchange.response());
    bool isBrokenOff = false;
    bool goesOn = listener.awaitPart();
    while (goesOn && !isBrokenOff && (!received.empty() || !exchange.isComplete())) {
        if (received.empty()) {
            auto failure = co_await exchange.readBody(received, deadline);
            if (failure)
                co_return Forwarded { failure };
        }
        auto events = m_events.take(std::exchange(received, {}));
        // The target broke off, even if the end of its response is well-formed.
        isBrokenOff = m_events.isMisplaced() || m_events.isEventTooLong() || (exchange.isComplete() && m_events.hasIncompleteEvent());
        if (exchange.isComplete() && !isBrokenOff)
            events.append(m_events.remainder());
        if (events.empty())
            continue;
        listener.partReceived();
        bool written = co_await writePart(events, deadline);
        if (!written)
            co_return Forwarded { std::nullopt, true };
        goesOn = listener.awaitPart();
    }
    if (isBrokenOff || (!goesOn && !exchange.isComplete()))
        co_return Forwarded { AttemptEnd::Broken };
    bool written = co_await writeLastPart(deadline);
    co_return Forwarded { std::nullopt, !written };
}

} // namespace Lavenderloft::Proxy
