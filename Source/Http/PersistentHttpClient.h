#pragma once

#include "Http/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
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

    // Not to be used during a call.
    void disconnect();

    // Ends the call that is under way, which then fails.
    void cancel();

    // Bytes of responses that have arrived; tells a server that is silent from one that is sending.
    uint64_t receivedBytes() const { return m_receivedBytes; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    struct Connection {
        explicit Connection(const boost::asio::any_io_executor& executor)
            : stream(executor)
        {
        }

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };

    boost::asio::awaitable<boost::beast::error_code> connect(std::chrono::milliseconds timeout);
    boost::asio::awaitable<boost::beast::error_code> readMessage(Parser&);

    boost::asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    std::chrono::milliseconds m_connectTimeout;
    std::unique_ptr<Connection> m_connection;
    uint64_t m_receivedBytes = 0;
};

} // namespace Lavenderloft::Http
