#include "Http/PersistentHttpClient.h"

#include "Http/IdleConnection.h"
#include "Http/ResponseStatus.h"
#include "Http/WireFormat.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace Lavenderloft::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

    // Largest response body accepted from a service that the node depends on.
    constexpr size_t maximumResponseBytes = 8 * 1024 * 1024;
    // Limit of what the parser keeps while it looks for the end of a head, a chunk header or a trailer.
    constexpr size_t maximumBufferedBytes = 64 * 1024;

    HttpError toHttpError(const Endpoint& endpoint, HttpErrorKind kind, const beast::error_code& error)
    {
        if (error == beast::error::timeout)
            kind = HttpErrorKind::TimedOut;
        return { kind, endpoint.toString() + ": " + error.message(), "check that the server is running and reachable" };
    }

} // namespace

PersistentHttpClient::PersistentHttpClient(asio::any_io_executor executor, Endpoint endpoint, std::chrono::milliseconds connectTimeout)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_connectTimeout(connectTimeout)
{
}

PersistentHttpClient::~PersistentHttpClient() = default;

bool PersistentHttpClient::isConnected() const
{
    return m_connection && isReusable(m_connection->stream.socket());
}

void PersistentHttpClient::disconnect()
{
    m_connection.reset();
}

void PersistentHttpClient::cancel()
{
    if (m_connection)
        m_connection->stream.cancel();
}

asio::awaitable<beast::error_code> PersistentHttpClient::connect(std::chrono::milliseconds timeout)
{
    beast::error_code error;
    m_connection = std::make_unique<Connection>(m_executor);
    m_connection->stream.expires_after(std::min(timeout, m_connectTimeout));
    asio::ip::tcp::endpoint server(asio::ip::make_address(m_endpoint.host), m_endpoint.port);
    co_await m_connection->stream.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        m_connection.reset();
        co_return error;
    }
    beast::error_code ignored;
    m_connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return error;
}

asio::awaitable<beast::error_code> PersistentHttpClient::readMessage(Parser& parser)
{
    auto& connection = *m_connection;
    beast::error_code error;
    parser.eager(true);
    while (!error && !parser.is_done()) {
        auto count = co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        m_receivedBytes += count;
    }
    co_return error;
}

asio::awaitable<Base::Result<HttpResponse, HttpError>> PersistentHttpClient::call(HttpRequest request, std::chrono::milliseconds timeout)
{
    beast::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    // A response that arrives unasked would be taken for the response to this request.
    if (!isConnected())
        m_connection.reset();
    if (!m_connection) {
        error = co_await connect(timeout);
        if (error)
            co_return toHttpError(m_endpoint, HttpErrorKind::NotSent, error);
    }
    auto& connection = *m_connection;
    connection.buffer.max_size(maximumBufferedBytes);
    connection.stream.expires_after(timeout);
    request.headers.push_back({ "Host", m_endpoint.toString() });
    auto bytes = serializeRequest(request);
    co_await asio::async_write(connection.stream, asio::buffer(bytes), token);
    if (error) {
        m_connection.reset();
        co_return toHttpError(m_endpoint, HttpErrorKind::Broken, error);
    }
    std::optional<Parser> parser;
    for (unsigned interim = 0; !parser || isInterimStatus(parser->get().result_int()); ++interim) {
        parser.emplace();
        parser->body_limit(maximumResponseBytes);
        error = co_await readMessage(*parser);
        bool isBroken = !error && (!isValidStatus(parser->get().result_int()) || interim > maximumInterimResponses);
        if (isBroken)
            error = http::error::bad_status;
        if (error) {
            m_connection.reset();
            co_return toHttpError(m_endpoint, HttpErrorKind::Broken, error);
        }
    }
    auto message = parser->release();
    HttpResponse response;
    response.status = message.result_int();
    response.headers = copyHeaders(message);
    response.body = std::move(message.body());
    if (!message.keep_alive() || connection.buffer.size() > 0)
        m_connection.reset();
    else
        connection.stream.expires_never();
    co_return response;
}

} // namespace Lavenderloft::Http
