#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace Lavenderloft::Http {

// Answers short requests of the platform and of other nodes on one event loop.
class NodeServer : public std::enable_shared_from_this<NodeServer> {
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

    // Throws std::runtime_error with the address if it cannot be bound.
    static std::shared_ptr<NodeServer> start(boost::asio::io_context&, const Endpoint&, Handler);

    void stop();

    // Port that the server listens at.
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    NodeServer(boost::asio::io_context&, const Endpoint&, Handler);

    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

// An acceptor that listens at the address. Throws std::runtime_error with the address if it cannot be bound.
boost::asio::ip::tcp::acceptor listenAt(boost::asio::io_context&, const Endpoint&);

} // namespace Lavenderloft::Http
