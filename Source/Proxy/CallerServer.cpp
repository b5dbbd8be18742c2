#include "Proxy/CallerServer.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/NodeServer.h"
#include "Http/RequestParser.h"
#include "Http/SpawnTask.h"
#include "Http/TaskSupervisor.h"
#include "Http/WireFormat.h"
#include "Observability/Log.h"
#include "Proxy/Events.h"
#include "Proxy/RequestHandler.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <limits>
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
    // Least limit of what a connection keeps of chunk headers and trailers, and of requests that were sent ahead.
    constexpr size_t minimumBufferLimit = 64 * 1024;
    // Memory of a head that is part of the memory of its connection. What exceeds it is reserved as the body is.
    constexpr uint64_t usualHeadBytes = 16 * 1024;
    // Memory of a header field beside its name and value.
    constexpr uint64_t fieldBytes = 96;
    // Connections that may be accepted beyond the limit, because they are refused or replace others only on their own event
    // loop.
    constexpr size_t unadmittedConnections = 16;
    constexpr std::chrono::milliseconds admissionCheckInterval = 5ms;

    Fleet::CallerLimits limitsInForce(const ProxyContext& context)
    {
        auto snapshot = Fleet::Queries::currentSnapshot(context.fleet);
        return snapshot->configuration ? snapshot->configuration->limits : Fleet::CallerLimits {};
    }

    size_t bufferLimit(const Fleet::CallerLimits& limits)
    {
        auto maximum = std::numeric_limits<size_t>::max() / 2;
        return std::max<size_t>(2 * std::min(limits.maximumHeaderBytes, maximum), minimumBufferLimit);
    }

    // Memory that a head needs beyond the usual.
    uint64_t extraHeadBytes(const Http::HttpHeaders& headers)
    {
        uint64_t bytes = 0;
        for (auto& header : headers)
            bytes += fieldBytes + header.name.size() + header.value.size();
        return bytes > usualHeadBytes ? bytes - usualHeadBytes : 0;
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

    enum class BodyRead {
        Complete,
        Failed,
        NoMemory,
    };

    // Reads the body as far as there is memory for it beside the head. Memory is reserved for what has arrived: callers that
    // announce bodies and do not send them would take it from the others. `onPart` is called after each part.
    asio::awaitable<BodyRead> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, Http::RequestParser& parser, const Http::MemoryBudget& budget, Http::MemoryReservation& reservation, uint64_t headBytes, const std::function<void()>& onPart, beast::error_code& error)
    {
        auto length = parser.content_length();
        if (!reservation.growTo(headBytes) || (length && !budget.hasRoomFor(*length)))
            co_return BodyRead::NoMemory;
        stream.expires_after(bodyTimeout);
        while (!parser.is_done()) {
            co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return BodyRead::Failed;
            onPart();
            if (!reservation.growTo(headBytes + parser.request().body.size()))
                co_return BodyRead::NoMemory;
        }
        co_return BodyRead::Complete;
    }

    // Counts a connection as open for as long as this object exists.
    class OpenConnection {
    public:
        explicit OpenConnection(std::atomic<size_t>& count)
            : m_count(count)
        {
            ++m_count;
        }

        OpenConnection(const OpenConnection&) = delete;
        OpenConnection& operator=(const OpenConnection&) = delete;
        ~OpenConnection() { --m_count; }

    private:
        std::atomic<size_t>& m_count;
    };

    // Lists a connection as waiting for a request for as long as this object exists.
    class IdleCaller {
    public:
        IdleCaller(ProxyWorker& worker, beast::tcp_stream& stream, Base::TimePoint since)
            : m_worker(worker)
            , m_stream(stream)
        {
            m_worker.idleCallers.emplace(&stream, since);
        }

        IdleCaller(const IdleCaller&) = delete;
        IdleCaller& operator=(const IdleCaller&) = delete;
        ~IdleCaller() { m_worker.idleCallers.erase(&m_stream); }

    private:
        ProxyWorker& m_worker;
        beast::tcp_stream& m_stream;
    };

    // Sends as much as the connection accepts at once; it is closed afterwards.
    void sendRefusal(tcp::socket& socket)
    {
        const Http::HttpResponse refusal { 503, { { "Content-Type", "application/json" }, { "Retry-After", "1.000" } }, R"({"error":"connections"})" };
        beast::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(Http::serializeResponse(refusal, false)), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

} // namespace

CallerServer::CallerServer(ProxyContext& context, std::vector<std::unique_ptr<ProxyWorker>>& workers, const Http::Endpoint& endpoint)
    : m_context(context)
    , m_workers(workers)
    , m_acceptor(Http::listenAt(workers.front()->context, endpoint))
{
    for (size_t i = 0; i < workers.size(); ++i)
        m_connections.push_back(std::make_unique<Http::WaitingConnections>(std::max<size_t>(1, context.maximumCallerConnections / workers.size())));
}

void CallerServer::start()
{
    Http::superviseTask(m_workers.front()->context, "accept-callers", [self = shared_from_this()] { return self->acceptConnections(); });
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
        co_await awaitAdmissions();
        auto number = next++ % m_workers.size();
        auto& worker = *m_workers[number];
        beast::error_code error;
        auto socket = co_await m_acceptor.async_accept(worker.context, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            asio::steady_timer timer(m_acceptor.get_executor(), acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        auto openConnection = std::make_shared<OpenConnection>(m_openConnections);
        Http::spawnTask(worker.context, "serve-caller", [self, openConnection, &worker, &connections = *m_connections[number], socket = std::move(socket)]() mutable { return self->serve(worker, connections, std::move(socket)); });
    }
}

asio::awaitable<void> CallerServer::awaitAdmissions()
{
    while (m_openConnections >= m_context.maximumCallerConnections + unadmittedConnections) {
        beast::error_code ignored;
        asio::steady_timer timer(m_acceptor.get_executor(), admissionCheckInterval);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

bool CallerServer::admit(Http::WaitingConnections& connections, tcp::socket& socket)
{
    using Admission = Http::WaitingConnections::Admission;
    auto admission = connections.makeRoom(m_context.clock.now());
    if (admission == Admission::Free)
        return true;
    bool isRefused = admission == Admission::Refused;
    m_context.metrics.count("caller_connections_closed_total", { { "reason", isRefused ? "refused" : "replaced" } });
    Observability::logEvent(Events::callerConnectionClosed, { { "reason", isRefused ? "refused" : "replaced" }, { "open", m_openConnections.load() } });
    if (isRefused)
        sendRefusal(socket);
    return !isRefused;
}

asio::awaitable<bool> CallerServer::serveRequest(ProxyWorker& worker, beast::tcp_stream& stream, beast::flat_buffer& buffer, Registration& registration)
{
    // From its first byte on: the process must not end while a request arrives.
    std::optional<OpenRequest> openRequest(std::in_place, m_context);
    auto limits = limitsInForce(m_context);
    Http::RequestParser parser({ limits.maximumHeaderBytes, limits.maximumBodyBytes });
    stream.expires_after(limits.headerTimeout);
    buffer.max_size(std::max(bufferLimit(limits), buffer.size()));
    registration.startWaiting(m_context.clock.now());
    beast::error_code error;
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    Http::MemoryReservation reservation(m_context.callerMemory);
    auto body = BodyRead::Failed;
    if (!error) {
        registration.recordPart(m_context.clock.now());
        auto onPart = [&] { registration.recordPart(m_context.clock.now()); };
        body = co_await readBody(stream, buffer, parser, m_context.callerMemory, reservation, extraHeadBytes(parser.request().headers), onPart, error);
    }
    if (registration.isClosed())
        co_return false;
    if (body == BodyRead::Failed) {
        openRequest.reset();
        if (error == http::error::buffer_overflow)
            m_context.metrics.count("caller_requests_rejected_total", { { "reason", "buffer" } });
        if (auto status = statusOf(error))
            co_await rejectMalformed(stream, status);
        co_return false;
    }
    bool keepAlive = parser.keep_alive() && body == BodyRead::Complete;
    auto handler = std::make_unique<RequestHandler>(m_context, worker, stream, parser.takeRequest(), keepAlive);
    if (body == BodyRead::NoMemory) {
        co_await handler->refuseForMemory();
        openRequest.reset();
        co_await discardUntilClosed(stream);
        co_return false;
    }
    registration.stopWaiting();
    bool mayContinue = co_await handler->run();
    registration.recordResponse();
    co_return mayContinue;
}

asio::awaitable<void> CallerServer::serve(ProxyWorker& worker, Http::WaitingConnections& connections, tcp::socket socket)
{
    if (!admit(connections, socket))
        co_return;
    beast::tcp_stream stream(std::move(socket));
    Registration registration(connections, stream);
    beast::flat_buffer buffer;
    beast::error_code error;
    beast::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    stream.socket().set_option(tcp::no_delay(true), error);
    bool keepAlive = true;
    while (keepAlive) {
        if (buffer.size() == 0) {
            stream.expires_after(limitsInForce(m_context).idleTimeout);
            registration.startWaiting(m_context.clock.now());
            size_t count = 0;
            {
                IdleCaller idleCaller(worker, stream, m_context.clock.now());
                count = co_await stream.async_read_some(buffer.prepare(firstReadBytes), token);
            }
            // A request has arrived that the event loop had not read when the connection was closed as idle.
            if (error == asio::error::operation_aborted && !registration.isClosed() && stream.socket().available(ignored) > 0)
                continue;
            if (error)
                co_return;
            buffer.commit(count);
        }
        keepAlive = co_await serveRequest(worker, stream, buffer, registration);
    }
    // Flushes pending data instead of resetting the connection.
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
}

} // namespace Lavenderloft::Proxy
