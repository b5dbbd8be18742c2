#include "Proxy/TargetExchange.h"

#include "Http/ResponseStatus.h"
#include "Http/WireFormat.h"

#include <algorithm>
#include <array>
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

    // After this time the request is sent to another target.
    constexpr std::chrono::milliseconds connectTimeout = 400ms;
    // Limit for requests that must not be retried: the target could close a connection that was idle for longer while the
    // request is being sent.
    constexpr std::chrono::milliseconds maximumIdleWithoutRetry = 1000ms;
    constexpr std::chrono::seconds maximumIdle = 60s;
    constexpr size_t readBytes = 4096;
    // Responses to earlier requests, and interim responses, that are skipped before the connection is considered broken.
    constexpr unsigned maximumUnrelatedResponses = 2;
    constexpr size_t maximumUnrelatedBytes = 1024 * 1024;
    constexpr uint32_t maximumHeadBytes = 8 * 1024;
    // More than the link of a VM carries within a deadline.
    constexpr uint64_t maximumResponseBytes = 16 * 1024 * 1024;

} // namespace

TargetExchange::TargetExchange(ProxyContext& context, ProxyWorker& worker, DisconnectMonitor& disconnectMonitor, const Fleet::KnownTarget& target, std::string requestId)
    : m_context(context)
    , m_worker(worker)
    , m_disconnectMonitor(disconnectMonitor)
    , m_target(target)
    , m_requestId(std::move(requestId))
{
}

TargetExchange::~TargetExchange()
{
    m_cancelRegistration.reset();
    resetConnection();
}

// Timers use a clock that stops while the VM is suspended, unlike the clock of the decisions, so deadlines are converted
// to remaining times here.
Base::Duration TargetExchange::timeUntil(Base::TimePoint time) const
{
    return std::max(time - m_context.clock.now(), Base::Duration::zero());
}

TargetExchange::Failure TargetExchange::describeFailure(const boost::system::error_code& error) const
{
    return error == beast::error::timeout ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::connect(Base::TimePoint until)
{
    m_connection = std::make_unique<TargetConnection>(m_worker.context.get_executor());
    m_connection->targetId = m_target.entry.id;
    cancelOnDisconnect();
    auto& address = m_target.entry.address;
    beast::error_code error;
    auto parsed = asio::ip::make_address(address.host, error);
    if (error)
        co_return AttemptEnd::NotSent;
    m_connection->stream.expires_after(std::min(timeUntil(until), Base::Duration(connectTimeout)));
    co_await m_connection->stream.async_connect(asio::ip::tcp::endpoint(parsed, address.port), asio::redirect_error(asio::use_awaitable, error));
    m_context.metrics.count("target_connections_total");
    if (error)
        co_return AttemptEnd::NotSent;
    m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return std::nullopt;
}

void TargetExchange::cancelOnDisconnect()
{
    m_cancelRegistration.reset();
    m_cancelRegistration = m_disconnectMonitor.callOnDisconnect([this] { cancel(); });
}

asio::awaitable<TargetExchange::Failure> TargetExchange::send(const Http::HttpRequest& head, std::string_view body, bool mayRetry, Base::TimePoint until)
{
    auto idle = mayRetry ? Base::Duration(maximumIdle) : Base::Duration(maximumIdleWithoutRetry);
    // The response to a request without an id can be recognised on a new connection only.
    if (!m_requestId.empty())
        m_connection = m_worker.connections.take(m_target.entry.id, idle, m_context.clock.now());
    m_mayReadOtherResponses = m_connection != nullptr;
    if (!m_connection) {
        auto failure = co_await connect(until);
        if (failure)
            co_return failure;
    }
    // The VM may have been suspended since the target was chosen.
    if (m_isCancelled || m_context.clock.now() >= until)
        co_return AttemptEnd::NotSent;
    cancelOnDisconnect();
    auto serializedHead = Http::serializeRequestHead(head, body.size());
    std::array<asio::const_buffer, 2> buffers { asio::buffer(serializedHead), asio::buffer(body) };
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(until));
    co_await asio::async_write(m_connection->stream, buffers, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return describeFailure(error);
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readOneHead(bool isHeadRequest, Base::TimePoint until)
{
    if (m_isCancelled)
        co_return AttemptEnd::Broken;
    m_parser.emplace();
    m_parser->header_limit(maximumHeadBytes);
    m_parser->body_limit(maximumResponseBytes);
    m_parser->skip(isHeadRequest);
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(until));
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return describeFailure(error);
    auto& message = m_parser->get();
    m_response.status = message.result_int();
    if (!Http::isValidStatus(m_response.status))
        co_return AttemptEnd::Broken;
    m_response.headers = Http::copyHeaders(message);
    m_response.head = m_context.protocol.readResponseHead(m_response.status, m_response.headers);
    co_return std::nullopt;
}

bool TargetExchange::isOwnResponse() const
{
    auto& echoedId = m_response.head.requestId;
    if (!echoedId.empty())
        return echoedId == m_requestId;
    // The target may write the response to an earlier request once more. If there was none, a component of the target
    // responded that does not know the id.
    return !m_mayReadOtherResponses;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readHead(bool isHeadRequest, Base::TimePoint until)
{
    for (unsigned unrelated = 0; unrelated <= maximumUnrelatedResponses; ++unrelated) {
        auto failure = co_await readOneHead(isHeadRequest, until);
        if (failure)
            co_return failure;
        bool isInterim = Http::isInterimStatus(m_response.status);
        bool isSuccess = !isInterim && m_response.status < 300;
        if (!isInterim && isOwnResponse()) {
            // A success must carry the request id.
            bool isInvalid = isSuccess && m_response.head.requestId.empty();
            co_return isInvalid ? Failure(AttemptEnd::Broken) : std::nullopt;
        }
        if (!isInterim)
            m_mayReadOtherResponses = true;
        failure = co_await discardBody(maximumUnrelatedBytes, until);
        if (failure)
            co_return failure;
    }
    co_return AttemptEnd::Broken;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::readBody(std::string& bytes, Base::TimePoint until)
{
    if (isComplete())
        co_return std::nullopt;
    if (m_isCancelled)
        co_return AttemptEnd::Broken;
    auto start = bytes.size();
    bytes.resize(start + readBytes);
    auto& body = m_parser->get().body();
    body.data = bytes.data() + start;
    body.size = readBytes;
    beast::error_code error;
    m_connection->stream.expires_after(timeUntil(until));
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
    bytes.resize(start + readBytes - body.size);
    // need_buffer only means that the buffer is full.
    if (error && error != http::error::need_buffer)
        co_return describeFailure(error);
    co_return std::nullopt;
}

asio::awaitable<TargetExchange::Failure> TargetExchange::discardBody(size_t maximumBytes, Base::TimePoint until)
{
    std::string bytes;
    size_t discarded = 0;
    while (!isComplete()) {
        bytes.clear();
        auto failure = co_await readBody(bytes, until);
        if (failure)
            co_return failure;
        discarded += bytes.size();
        if (discarded > maximumBytes)
            co_return AttemptEnd::Broken;
    }
    co_return std::nullopt;
}

void TargetExchange::cancel()
{
    m_isCancelled = true;
    if (m_connection)
        m_connection->stream.cancel();
}

void TargetExchange::releaseConnection()
{
    m_cancelRegistration.reset();
    if (!m_connection)
        return;
    // After a response without an id it is unknown whether further responses follow.
    bool isIdentified = !m_response.head.requestId.empty();
    bool mayKeep = isComplete() && isIdentified && m_parser->keep_alive() && m_connection->buffer.size() == 0;
    if (!mayKeep) {
        resetConnection();
        return;
    }
    auto keepAlive = m_response.head.keepAlive ? Base::Duration(*m_response.head.keepAlive) : Base::Duration(ConnectionPool::defaultKeepAlive);
    m_worker.connections.put(std::move(m_connection), keepAlive, m_context.clock.now());
}

// After an ordinary close, the kernel goes on delivering what waits in the send buffer; a reset discards it.
void TargetExchange::resetConnection()
{
    if (!m_connection)
        return;
    beast::error_code ignored;
    m_connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_connection.reset();
}

} // namespace Lavenderloft::Proxy
