#include "Proxy/CallerServer.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Http/NodeServer.h"
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
#include <boost/beast/http/error.hpp>
#include <boost/system/errc.hpp>
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
    // After a response to a request that was not read whole. Longer than a caller takes to send the largest body.
    constexpr std::chrono::seconds discardTimeout = 3s;
    constexpr size_t discardBytes = 4096;
    // The request of a connection that has just been accepted is probably on its way.
    constexpr std::chrono::milliseconds minimumIdleTime = 500ms;
    // Least limit of what a connection keeps of chunk headers and trailers, and of requests that were sent ahead.
    constexpr size_t minimumBufferLimit = 64 * 1024;
    // Connections that may be accepted beyond the limit, because they are refused or replace others only on their own event
    // loop.
    constexpr size_t unadmittedConnections = 16;
    constexpr std::chrono::milliseconds admissionCheckInterval = 5ms;

    // Nothing while no configuration is known.
    std::optional<Fleet::CallerLimits> configuredLimits(const ProxyContext& context)
    {
        auto snapshot = Fleet::Queries::currentSnapshot(context.fleet);
        return snapshot->configuration ? std::optional(snapshot->configuration->limits) : std::nullopt;
    }

    Fleet::CallerLimits limitsInForce(const ProxyContext& context)
    {
        return configuredLimits(context).value_or(Fleet::CallerLimits {});
    }

    size_t bufferLimit(const Fleet::CallerLimits& limits)
    {
        auto maximum = std::numeric_limits<size_t>::max() / 2;
        return std::max<size_t>(2 * std::min(limits.maximumHeaderBytes, maximum), minimumBufferLimit);
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

    asio::awaitable<void> rejectUnread(beast::tcp_stream& stream, const Http::HttpResponse& response)
    {
        auto bytes = Http::serializeResponse(response, false);
        beast::error_code error;
        stream.expires_after(bodyTimeout);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_await discardUntilClosed(stream);
    }

    // Refuses a request that was not read whole. It has not run.
    Http::HttpResponse refusal(std::string_view reason)
    {
        return { 503, { { "Content-Type", "application/json" }, { "Retry-After", "1.000" } }, R"({"error":")" + std::string(reason) + R"("})" };
    }

    bool exceedsLimit(const beast::error_code& error)
    {
        return error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow;
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
        beast::error_code ignored;
        socket.non_blocking(true, ignored);
        socket.write_some(asio::buffer(Http::serializeResponse(refusal("connections"), false)), ignored);
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

} // namespace

// What the router holds for a request from its first byte on: the process must not end while a request arrives.
struct CallerServer::IncomingRequest {
    IncomingRequest(ProxyContext& context, const std::optional<Fleet::CallerLimits>& configured)
        : IncomingRequest(context, configured.value_or(Fleet::CallerLimits {}), configured.has_value())
    {
    }

    IncomingRequest(ProxyContext& context, const Fleet::CallerLimits& limits, bool isConfigured)
        : hasConfiguration(isConfigured)
        , open(context)
        , memory(context.callerMemory)
        , parser({ limits.maximumHeaderBytes, limits.maximumBodyBytes }, memory)
    {
    }

    // Whether the limits are those of a configuration, so that a request which exceeds them may be told so for certain.
    const bool hasConfiguration;
    OpenRequest open;
    Http::MemoryReservation memory;
    Http::RequestParser parser;
};

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

asio::awaitable<bool> CallerServer::receive(beast::tcp_stream& stream, RequestReader& reader, Http::RequestParser& parser, Registration& registration)
{
    auto limits = limitsInForce(m_context);
    stream.expires_after(limits.headerTimeout);
    reader.setBufferLimit(bufferLimit(limits));
    registration.startWaiting(m_context.clock.now());
    bool isRead = co_await reader.readHead(parser);
    if (isRead)
        stream.expires_after(bodyTimeout);
    while (isRead && !parser.is_done()) {
        registration.recordPart(m_context.clock.now());
        isRead = co_await reader.readPart(parser);
    }
    co_return isRead;
}

asio::awaitable<void> CallerServer::reject(beast::tcp_stream& stream, const beast::error_code& error, bool hasConfiguration)
{
    bool isOutOfMemory = error == boost::system::errc::not_enough_memory;
    if (isOutOfMemory || error == http::error::buffer_overflow)
        m_context.metrics.count("caller_requests_rejected_total", { { "reason", isOutOfMemory ? "memory" : "buffer" } });
    Http::HttpResponse response { statusOf(error), {}, {} };
    if (isOutOfMemory)
        response = refusal("body_memory");
    else if (!hasConfiguration && exceedsLimit(error))
        response = refusal("no_configuration");
    if (response.status != 0)
        co_await rejectUnread(stream, response);
}

asio::awaitable<void> CallerServer::endUnread(ProxyWorker& worker, beast::tcp_stream& stream, RequestReader& reader, std::optional<IncomingRequest>& incoming)
{
    auto error = reader.error();
    bool hasConfiguration = incoming->hasConfiguration;
    bool isRefused = error == boost::system::errc::not_enough_memory && incoming->parser.is_header_done();
    if (isRefused) {
        RequestHandler handler(m_context, worker, stream, incoming->parser.takeRequest(), false);
        co_await handler.refuseForMemory();
    }
    // The rest of the request is not read, so nothing of it has to be kept.
    incoming.reset();
    reader.dropBytes();
    if (isRefused)
        co_await discardUntilClosed(stream);
    else
        co_await reject(stream, error, hasConfiguration);
}

asio::awaitable<bool> CallerServer::serveRequest(ProxyWorker& worker, beast::tcp_stream& stream, RequestReader& reader, Registration& registration)
{
    std::optional<IncomingRequest> incoming(std::in_place, m_context, configuredLimits(m_context));
    bool isReceived = co_await receive(stream, reader, incoming->parser, registration);
    if (registration.isClosed())
        co_return false;
    if (!isReceived) {
        co_await endUnread(worker, stream, reader, incoming);
        co_return false;
    }
    reader.shrinkBuffer();
    registration.stopWaiting();
    bool keepAlive = incoming->parser.keep_alive();
    auto handler = std::make_unique<RequestHandler>(m_context, worker, stream, incoming->parser.takeRequest(), keepAlive);
    bool mayContinue = co_await handler->run();
    registration.recordResponse();
    co_return mayContinue;
}

asio::awaitable<bool> CallerServer::awaitRequest(ProxyWorker& worker, beast::tcp_stream& stream, RequestReader& reader, Registration& registration)
{
    stream.expires_after(limitsInForce(m_context).idleTimeout);
    registration.startWaiting(m_context.clock.now());
    IdleCaller idleCaller(worker, stream, m_context.clock.now());
    bool hasArrived = co_await reader.awaitRequest();
    co_return hasArrived;
}

asio::awaitable<void> CallerServer::serve(ProxyWorker& worker, Http::WaitingConnections& connections, tcp::socket socket)
{
    if (!admit(connections, socket))
        co_return;
    beast::tcp_stream stream(std::move(socket));
    Registration registration(connections, stream);
    RequestReader reader(stream, m_context.callerMemory);
    beast::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    bool keepAlive = true;
    while (keepAlive) {
        if (!reader.hasBytes()) {
            bool hasArrived = co_await awaitRequest(worker, stream, reader, registration);
            // A request has arrived that the event loop had not read when the connection was closed as idle.
            if (reader.error() == asio::error::operation_aborted && !registration.isClosed() && stream.socket().available(ignored) > 0)
                continue;
            if (!hasArrived)
                co_return;
        }
        keepAlive = co_await serveRequest(worker, stream, reader, registration);
    }
    // Flushes pending data instead of resetting the connection.
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

} // namespace Lavenderloft::Proxy
