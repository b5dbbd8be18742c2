#include "Http/NodeServer.h"

#include "Http/WireFormat.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
    constexpr size_t maximumRequestBytes = 64 * 1024;

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
    asio::co_spawn(
        context, [server] { return server->acceptConnections(); }, asio::detached);
    return server;
}

NodeServer::NodeServer(asio::io_context& context, const Endpoint& endpoint, Handler handler)
    : m_context(context)
    , m_acceptor(listenAt(context, endpoint))
    , m_handler(std::move(handler))
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
        asio::co_spawn(
            m_context, [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); }, asio::detached);
    }
}

asio::awaitable<void> NodeServer::serve(tcp::socket socket)
{
    auto self = shared_from_this();
    ++m_openConnections;
    co_await answerRequests(std::move(socket));
    --m_openConnections;
}

asio::awaitable<void> NodeServer::answerRequests(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    beast::error_code error;
    stream.socket().set_option(tcp::no_delay(true), error);
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maximumRequestBytes);
        stream.expires_after(requestTimeout);
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        auto message = parser.release();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        request.headers = copyHeaders(message);
        request.body = std::move(message.body());
        stream.expires_never();
        auto response = co_await m_handler(std::move(request));
        auto bytes = serializeResponse(response, message.keep_alive());
        stream.expires_after(writeTimeout);
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (error || !message.keep_alive())
            co_return;
    }
}

} // namespace Lavenderloft::Http
