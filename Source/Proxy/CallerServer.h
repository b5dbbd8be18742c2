#pragma once

#include "Proxy/ProxyContext.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace Lavenderloft::Proxy {

// Accepts connections from callers and distributes them over the event loops.
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
    // Throws std::runtime_error with the address if it cannot be bound.
    CallerServer(ProxyContext&, std::vector<std::unique_ptr<ProxyWorker>>&, const Http::Endpoint&);

    void start();
    void stop();

    // The bound port, even if the endpoint had port 0.
    uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    // Closes connections without a request in progress.
    void closeIdleConnections();

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(ProxyWorker&, boost::asio::ip::tcp::socket);

    ProxyContext& m_context;
    std::vector<std::unique_ptr<ProxyWorker>>& m_workers;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace Lavenderloft::Proxy
