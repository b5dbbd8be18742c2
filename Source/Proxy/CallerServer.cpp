#include "Proxy/CallerServer.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/NodeServer.h"
#include "Http/WireFormat.h"
#include "Proxy/RequestHandler.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace Lavenderloft::Proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds acceptRetryDelay = 50ms;
    // Time to receive the body after the head, and to send an error for a malformed request.
    constexpr std::chrono::seconds bodyTimeout = 10s;
    constexpr size_t firstReadBytes = 2048;
    // After a response to a request that was not read whole. Longer than a caller takes to send the largest body.
    constexpr std::chrono::seconds discardTimeout = 3s;
    constexpr size_t discardBytes = 4096;
    // The request of a connection that has just been accepted is probably on its way.
    constexpr std::chrono::milliseconds minimumIdleTime = 500ms;

    Fleet::CallerLimits limitsInForce(const ProxyContext& context)
    {
        auto snapshot = Fleet::Queries::currentSnapshot(context.fleet);
        return snapshot->configuration ? snapshot->configuration->limits : Fleet::CallerLimits {};
    }

    // Status for a request that cannot be read; zero closes the connection without a response.
    unsigned statusOf(const beast::error_code& error)
    {
        if (error == http::error::header_limit)
            return 431;
        if (error == http::error::body_limit)
            return 413;
        if (error == beast::error::timeout || error == http::error::end_of_stream || error == http::error::partial_message)
            return 0;
        return error.category() == beast::error_code(http::error::bad_method).category() ? 400 : 0;
    }

    // Reads what the caller still sends, so that closing the connection does not reset it before the response was read.
    asio::awaitable<void> discardUntilClosed(beast::tcp_stream& stream)
    {
        beast::error_code error;
        stream.socket().shutdown(tcp::socket::shutdown_send, error);
        stream.expires_after(discardTimeout);
        std::array<char, discardBytes> bytes;
        while (!error)
            co_await stream.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }

    asio::awaitable<void> rejectMalformed(beast::tcp_stream& stream, unsigned status)
    {
        Http::HttpResponse response;
        response.status = status;
        auto bytes = Http::serializeResponse(response, false);
        beast::error_code error;
        stream.expires_after(bodyTimeout);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await discardUntilClosed(stream);
    }

    using RequestParser = http::request_parser<http::string_body>;

    enum class BodyRead {
        Complete,
        Failed,
        NoMemory,
    };

    // Reads the body as far as there is memory for it.
    asio::awaitable<BodyRead> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, RequestParser& parser, BodyReservation& reservation, beast::error_code& error)
    {
        auto length = parser.content_length();
        if (length && !reservation.growTo(*length))
            co_return BodyRead::NoMemory;
        stream.expires_after(bodyTimeout);
        while (!parser.is_done()) {
            co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return BodyRead::Failed;
            if (!reservation.growTo(parser.get().body().size()))
                co_return BodyRead::NoMemory;
        }
        co_return BodyRead::Complete;
    }

    Http::HttpRequest takeRequest(http::request<http::string_body> message)
    {
        Http::HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = Http::copyHeaders(message);
        request.body = std::move(message.body());
        return request;
    }

} // namespace

CallerServer::CallerServer(ProxyContext& context, std::vector<std::unique_ptr<ProxyWorker>>& workers, const Http::Endpoint& endpoint)
    : m_context(context)
    , m_workers(workers)
    , m_acceptor(Http::listenAt(workers.front()->context, endpoint))
{
}

void CallerServer::start()
{
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->acceptConnections(); }, asio::detached);
}

void CallerServer::closeIdleConnections()
{
    for (auto& worker : m_workers) {
        asio::post(worker->context, [&idle = worker->idleCallers, since = m_context.clock.now() - minimumIdleTime] {
            for (auto& [stream, idleSince] : idle) {
                if (idleSince <= since)
                    stream->cancel();
            }
        });
    }
}

void CallerServer::endOpenRequests()
{
    for (auto& worker : m_workers) {
        asio::post(worker->context, [&requests = worker->openRequests] {
            for (auto* request : requests)
                request->endForStop();
        });
    }
}

void CallerServer::cutOpenRequests()
{
    for (auto& worker : m_workers) {
        asio::post(worker->context, [&requests = worker->openRequests] {
            for (auto* request : requests)
                request->cutForStop();
        });
    }
}

void CallerServer::stop()
{
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> CallerServer::acceptConnections()
{
    auto self = shared_from_this();
    size_t next = 0;
    while (m_acceptor.is_open()) {
        auto& worker = *m_workers[next++ % m_workers.size()];
        beast::error_code error;
        auto socket = co_await m_acceptor.async_accept(worker.context, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer timer(m_acceptor.get_executor(), acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        asio::co_spawn(
            worker.context, [self, &worker, socket = std::move(socket)]() mutable { return self->serve(worker, std::move(socket)); }, asio::detached);
    }
}

asio::awaitable<bool> CallerServer::serveRequest(ProxyWorker& worker, beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    // From its first byte on: the process must not end while a request arrives.
    std::optional<OpenRequest> openRequest(std::in_place, m_context);
    auto limits = limitsInForce(m_context);
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(limits.maximumHeaderBytes));
    parser.body_limit(limits.maximumBodyBytes);
    stream.expires_after(limits.headerTimeout);
    beast::error_code error;
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    BodyReservation reservation(m_context.bodies);
    auto body = BodyRead::Failed;
    if (!error)
        body = co_await readBody(stream, buffer, parser, reservation, error);
    if (body == BodyRead::Failed) {
        openRequest.reset();
        if (auto status = statusOf(error))
            co_await rejectMalformed(stream, status);
        co_return false;
    }
    auto message = parser.release();
    bool keepAlive = message.keep_alive() && body == BodyRead::Complete;
    auto handler = std::make_unique<RequestHandler>(m_context, worker, stream, takeRequest(std::move(message)), keepAlive);
    if (body == BodyRead::NoMemory) {
        co_await handler->refuseForMemory();
        openRequest.reset();
        co_await discardUntilClosed(stream);
        co_return false;
    }
    bool mayContinue = co_await handler->run();
    co_return mayContinue;
}

asio::awaitable<void> CallerServer::serve(ProxyWorker& worker, tcp::socket socket)
{
    auto self = shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    beast::error_code error;
    beast::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    stream.socket().set_option(tcp::no_delay(true), error);
    bool keepAlive = true;
    while (keepAlive) {
        if (buffer.size() == 0) {
            stream.expires_after(limitsInForce(m_context).idleTimeout);
            worker.idleCallers.emplace(&stream, m_context.clock.now());
            auto count = co_await stream.async_read_some(buffer.prepare(firstReadBytes), token);
            worker.idleCallers.erase(&stream);
            // A request has arrived that the event loop had not read when the connection was closed as idle.
            if (error == asio::error::operation_aborted && stream.socket().available(ignored) > 0)
                continue;
            if (error)
                co_return;
            buffer.commit(count);
        }
        keepAlive = co_await serveRequest(worker, stream, buffer);
    }
    // Flushes pending data instead of resetting the connection.
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

} // namespace Lavenderloft::Proxy
