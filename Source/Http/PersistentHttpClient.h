#pragma once

#include "Http/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace Lavenderloft::Http {

// Calls one server over a persistent connection. Must be used by one coroutine at a time.
class PersistentHttpClient {
public:
    static constexpr std::chrono::milliseconds defaultConnectTimeout { 700 };

    PersistentHttpClient(boost::asio::any_io_executor, Endpoint, std::chrono::milliseconds connectTimeout = defaultConnectTimeout);
    ~PersistentHttpClient();

    const Endpoint& endpoint() const { return m_endpoint; }

    // Sends the request and reads the complete response. Connecting and the exchange each have to finish within the timeout.
    boost::asio::awaitable<Base::Result<HttpResponse, HttpError>> call(HttpRequest, std::chrono::milliseconds timeout);

    // Whether the connection of the last call is open, so that the next call is sent at once and to the same process.
    bool isConnected() const;

    void disconnect();

private:
    struct Connection {
        explicit Connection(const boost::asio::any_io_executor& executor)
            : stream(executor)
        {
        }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };

    boost::asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    std::chrono::milliseconds m_connectTimeout;
    std::unique_ptr<Connection> m_connection;
};

} // namespace Lavenderloft::Http
