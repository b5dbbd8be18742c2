#include "Http/NodeServer.h"

#include "Base/FileDescriptors.h"
#include "Http/Events.h"
#include "Http/RequestParser.h"
#include "Http/SpawnTask.h"
#include "Http/TaskSupervisor.h"
#include "Http/WireFormat.h"
#include "Observability/Log.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>

namespace Lavenderloft::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    using namespace std::chrono_literals;

    // Longest time to receive a request, including the idle time before it.
    constexpr std::chrono::seconds requestTimeout = 30s;
    constexpr std::chrono::seconds writeTimeout = 10s;
    constexpr std::chrono::milliseconds acceptRetryDelay = 100ms;
    constexpr size_t maximumHeadBytes = 8 * 1024;
    constexpr size_t maximumRequestBytes = 64 * 1024;
    // Limit of what a connection keeps of a head, a chunk header, a trailer or requests that were sent ahead.
    constexpr size_t maximumBufferedBytes = 64 * 1024;
    // Of all requests, beside the usual size of their heads.
    constexpr uint64_t maximumRequestMemory = 16 * 1024 * 1024;
    // Limit of the responses that are being sent. A single one may be larger.
    constexpr size_t maximumUnreadBytes = 32 * 1024 * 1024;

    // A process has two such servers; most descriptors are for callers and targets.
    size_t maximumConnections()
    {
        return std::max<size_t>(Base::fileDescriptorLimit() / 8, 16);
    }

} // namespace

tcp::acceptor listenAt(asio::io_context& context, const Endpoint& endpoint)
{
    try {
        tcp::endpoint address(asio::ip::make_address(endpoint.host), endpoint.port);
        tcp::acceptor acceptor(context);
        acceptor.open(address.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(address);
        acceptor.listen();
        return acceptor;
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error("cannot listen at " + endpoint.toString() + ": " + error.what() + "; check that the address belongs to this VM and that the port is free");
    }
}

std::shared_ptr<NodeServer> NodeServer::start(asio::io_context& context, const Endpoint& endpoint, Handler handler)
{
    std::shared_ptr<NodeServer> server(new NodeServer(context, endpoint, std::move(handler)));
    superviseTask(context, "accept-nodes", [server] { return server->acceptConnections(); });
    return server;
}

NodeServer::NodeServer(asio::io_context& context, const Endpoint& endpoint, Handler handler)
    : m_context(context)
    , m_acceptor(listenAt(context, endpoint))
    , m_handler(std::move(handler))
    , m_connections(maximumConnections())
    , m_requestMemory(maximumRequestMemory)
{
}

void NodeServer::stop()
{
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

asio::awaitable<void> NodeServer::acceptConnections()
{
    auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        beast::error_code error;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            // Most likely out of file descriptors: retrying at once would spin until one is closed.
            asio::steady_timer timer(m_context, acceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        spawnTask(m_context, "serve-node", [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); });
    }
}

asio::awaitable<void> NodeServer::serve(tcp::socket socket)
{
    auto self = shared_from_this();
    auto admission = m_connections.makeRoom(std::chrono::steady_clock::now());
    if (admission != WaitingConnections::Admission::Free)
        countClosed(admission == WaitingConnections::Admission::Refused ? "refused" : "replaced");
    if (admission == WaitingConnections::Admission::Refused)
        co_return;
    beast::tcp_stream stream(std::move(socket));
    WaitingConnections::Registration registration(m_connections, stream);
    co_await answerRequests(stream, registration);
}

void NodeServer::countClosed(std::string_view reason)
{
    ++m_closedConnections;
    Observability::logEvent(Events::connectionClosed, { { "reason", reason }, { "open", m_connections.count() } });
}

asio::awaitable<bool> NodeServer::sendResponse(beast::tcp_stream& stream, HttpResponse response, std::string_view method, bool keepAlive)
{
    auto bytes = serializeResponse(response, keepAlive, method);
    response = {};
    if (m_unreadBytes > 0 && m_unreadBytes + bytes.size() > maximumUnreadBytes) {
        countClosed("unread");
        co_return false;
    }
    m_unreadBytes += bytes.size();
    std::shared_ptr<void> endOfResponse(nullptr, [this, count = bytes.size()](void*) { m_unreadBytes -= count; });
    beast::error_code error;
    stream.expires_after(writeTimeout);
    co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<void> NodeServer::answerRequests(beast::tcp_stream& stream, WaitingConnections::Registration& registration)
{
    beast::flat_buffer buffer { maximumBufferedBytes };
    beast::error_code error;
    stream.socket().set_option(tcp::no_delay(true), error);
    while (true) {
        MemoryReservation reservation(m_requestMemory);
        RequestParser parser({ maximumHeadBytes, maximumRequestBytes }, reservation);
        stream.expires_after(requestTimeout);
        registration.startWaiting(std::chrono::steady_clock::now());
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == boost::system::errc::not_enough_memory)
            countClosed("received");
        if (error || registration.isClosed())
            co_return;
        registration.stopWaiting();
        stream.expires_never();
        auto request = parser.takeRequest();
        auto method = request.method;
        auto response = co_await m_handler(std::move(request));
        bool isSent = co_await sendResponse(stream, std::move(response), method, parser.keep_alive());
        if (!isSent || !parser.keep_alive())
            co_return;
        registration.recordResponse();
    }
}

} // namespace Lavenderloft::Http
