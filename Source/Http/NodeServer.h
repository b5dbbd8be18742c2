#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"
#include "Http/MemoryBudget.h"
#include "Http/WaitingConnections.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

namespace Lavenderloft::Http {

// An HTTP/1.1 server for short requests of the platform and of other nodes, run on a single event loop.
class NodeServer : public std::enable_shared_from_this<NodeServer> {
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    // Throws std::runtime_error with the address if it cannot be bound.
    static std::shared_ptr<NodeServer> start(boost::asio::io_context&, const Endpoint&, Handler);

    void stop();

    // Returns the bound port, also if port 0 was requested.
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    // Returns the number of connections that are open, idle ones included.
    size_t openConnections() const { return m_connections.count(); }

    // Returns the number of connections that were closed or refused because there were too many, or too much unread data.
    uint64_t closedConnections() const { return m_closedConnections; }

private:
    NodeServer(boost::asio::io_context&, const Endpoint&, Handler);

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);
    boost::asio::awaitable<void> answerRequests(boost::beast::tcp_stream&, WaitingConnections::Registration&);
    boost::asio::awaitable<bool> sendResponse(boost::beast::tcp_stream&, HttpResponse, std::string_view method, bool keepAlive);
    void countClosed(std::string_view reason);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    WaitingConnections m_connections;
    MemoryBudget m_requestMemory;
    uint64_t m_closedConnections = 0;
    // Responses that are being sent.
    size_t m_unreadBytes = 0;
};

// Returns an acceptor that listens on the address. Throws std::runtime_error with the address if it cannot be bound.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context&, const Endpoint&);

} // namespace Lavenderloft::Http
