#pragma once

#include "Http/WaitingConnections.h"
#include "Proxy/ProxyContext.h"
#include "Proxy/RequestReader.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
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

    // Closes connections that have had no request in progress for some time.
    void closeIdleConnections();

    // Ends the requests in progress with a final response, because the process stops.
    void endOpenRequests();

    // Closes the connections of requests that have not ended.
    void cutOpenRequests();

private:
    boost::asio::awaitable<void> acceptConnections();
    using Registration = Http::WaitingConnections::Registration;

    // Waits while connections that were accepted have not been admitted or refused yet.
    boost::asio::awaitable<void> awaitAdmissions();
    // Whether the connection may be served; another one may be closed for it.
    bool admit(Http::WaitingConnections&, boost::asio::ip::tcp::socket&);
    // Waits until the caller sends something, for as long as the connection may be idle. Returns false if nothing arrives.
    boost::asio::awaitable<bool> awaitRequest(ProxyWorker&, boost::beast::tcp_stream&, RequestReader&, Registration&);
    // Reads one request. Returns false if that fails, see RequestReader::error().
    boost::asio::awaitable<bool> receive(boost::beast::tcp_stream&, RequestReader&, Http::RequestParser&, Registration&);
    struct IncomingRequest;
    // Refuses or rejects a request that could not be read whole, and frees what it held before its rest is discarded.
    boost::asio::awaitable<void> endUnread(ProxyWorker&, boost::beast::tcp_stream&, RequestReader&, std::optional<IncomingRequest>&);
    // Responds to a request that could not be read, if there is a status for the error.
    boost::asio::awaitable<void> reject(boost::beast::tcp_stream&, const boost::beast::error_code&, bool hasConfiguration);
    // Reads one request and serves it. Returns whether the connection can be used for another one.
    boost::asio::awaitable<bool> serveRequest(ProxyWorker&, boost::beast::tcp_stream&, RequestReader&, Registration&);
    boost::asio::awaitable<void> serve(ProxyWorker&, Http::WaitingConnections&, boost::asio::ip::tcp::socket);

    ProxyContext& m_context;
    std::vector<std::unique_ptr<ProxyWorker>>& m_workers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    // Of each worker.
    std::vector<std::unique_ptr<Http::WaitingConnections>> m_connections;
    // Connections that were accepted and are not closed yet.
    std::atomic<size_t> m_openConnections { 0 };
};

} // namespace Lavenderloft::Proxy
