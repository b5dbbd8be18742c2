#include "Proxy/TargetExchange.h"

#include "Http/WireFormat.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Dispatch::Queries::AttemptEnd;

namespace {

    using namespace std::chrono_literals;

    // A connection that is not there by then is given up, so that the request can go elsewhere.
    constexpr std::chrono::milliseconds connectTimeout = 400ms;
    // A request that must not be repeated is sent over a connection that was idle for no longer, because the
    // target could close an older one as the request is on its way.
    constexpr std::chrono::milliseconds longestIdleForUnrepeatable = 1000ms;
    constexpr std::chrono::seconds longestIdle = 60s;
    constexpr size_t readBytes = 4096;
    // Answers to earlier requests that are left out before a connection is given up.
    constexpr unsigned maximumStrayAnswers = 2;
    constexpr uint64_t maximumAnswerBytes = 64 * 1024 * 1024;

} // namespace

TargetExchange::TargetExchange(ProxyContext& context, ProxyWorker& worker, CallerWatch& watch, const Fleet::KnownTarget& target)
    : m_context(context)
    , m_worker(worker)
    , m_watch(watch)
    , m_target(target)
{
}

// Timers run on a clock that stops while the VM is suspended, unlike the one of the decisions.
Base::Duration TargetExchange::timeUntil(Base::TimePoint time) const
{
    return std::max(time - m_context.clock.now(), Base::Duration::zero());
}

TargetExchange::Failure TargetExchange::describeFailure(const boost::system::error_code& error) const
{
    return error == beast::error::timeout ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::connect(Base::TimePoint deadline)
{
    m_connection = std::make_unique<TargetConnection>(m_worker.context.get_executor());
    m_connection->targetId = m_target.entry.id;
    m_watch.setCancellation([this] { m_connection->stream.cancel(); });
    auto& address = m_target.entry.address;
    beast::error_code error;
    auto parsed = asio::ip::make_address(address.host, error);
    if (error)
        co_return AttemptEnd::NotSent;
    m_connection->stream.expires_after(std::min(timeUntil(deadline), Base::Duration(connectTimeout)));
    co_await m_connection->stream.async_connect(asio::ip::tcp::endpoint(parsed, address.port), asio::redirect_error(asio::use_awaitable, error));
    m_context.metrics.count("target_connections_total");
    if (error)
        co_return AttemptEnd::NotSent;
    m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::send(const Http::HttpRequest& request, bool mayRepeat, Base::TimePoint deadline)
{
    auto idle = mayRepeat ? Base::Duration(longestIdle) : Base::Duration(longestIdleForUnrepeatable);
    m_connection = m_worker.connections.take(m_target.entry.id, idle, m_context.clock.now());
    if (!m_connection) {
        auto failure = co_await connect(deadline);
        if (failure)
            co_return failure;
    }
    m_watch.setCancellation([this] { m_connection->stream.cancel(); });
    auto bytes = Http::serializeRequest(request);
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(deadline));
    co_await asio::async_write(m_connection->stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return describeFailure(error);
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readOneHead(bool isHeadRequest, Base::TimePoint until)
{
    m_parser.emplace();
    m_parser->body_limit(maximumAnswerBytes);
    m_parser->skip(isHeadRequest);
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(until));
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return describeFailure(error);
    auto& message = m_parser->get();
    m_answer.status = message.result_int();
    m_answer.headers = Http::copyHeaders(message);
    m_answer.head = m_context.protocol.readResponseHead(m_answer.status, m_answer.headers);
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::skipBody(Base::TimePoint until)
{
    std::string ignored;
    while (!isComplete()) {
        ignored.clear();
        auto failure = co_await readBody(ignored, until);
        if (failure)
            co_return failure;
    }
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readHead(const std::string& requestId, bool isHeadRequest, Base::TimePoint until)
{
    for (unsigned stray = 0; stray <= maximumStrayAnswers; ++stray) {
        auto failure = co_await readOneHead(isHeadRequest, until);
        if (failure)
            co_return failure;
        bool isInterim = m_answer.status < 200;
        bool isOther = !m_answer.head.requestId.empty() && m_answer.head.requestId != requestId;
        // A success has to name the request; other answers may come from a part of the target that does not.
        bool isUnnamedSuccess = m_answer.head.requestId.empty() && m_answer.status < 300;
        if (isUnnamedSuccess && !isInterim)
            co_return AttemptEnd::Broken;
        if (!isInterim && !isOther)
            co_return std::nullopt;
        failure = co_await skipBody(until);
        if (failure)
            co_return failure;
    }
    co_return AttemptEnd::Broken;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readBody(std::string& bytes, Base::TimePoint until)
{
    if (isComplete())
        co_return std::nullopt;
    auto start = bytes.size();
    bytes.resize(start + readBytes);
    auto& body = m_parser->get().body();
    body.data = bytes.data() + start;
    body.size = readBytes;
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(until));
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
    bytes.resize(start + readBytes - body.size);
    // The body may come in more parts than one buffer holds.
    if (error && error != http::error::need_buffer)
        co_return describeFailure(error);
    co_return std::nullopt;
}

void TargetExchange::finish()
{
    if (!m_connection)
        return;
    bool mayKeep = isComplete() && m_parser->get().keep_alive() && m_connection->buffer.size() == 0;
    if (mayKeep) {
        auto keepAlive = m_answer.head.keepAlive ? Base::Duration(*m_answer.head.keepAlive) : Base::Duration(ConnectionPool::defaultKeepAlive);
        m_worker.connections.put(std::move(m_connection), keepAlive, m_context.clock.now());
    }
    m_connection.reset();
}

} // namespace Lavenderloft::Proxy
