#include "Http/HttpServer.h"

#include "Base/FileDescriptors.h"
#include "Http/EventLoop.h"
#include "Http/Events.h"
#include "Http/RequestParser.h"
#include "Http/WireFormat.h"
#include "Observability/Log.h"

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <thread>

namespace Lavenderloft::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr int listenBacklog = 1024;
    // After an error, most likely a lack of descriptors or memory. Accepting again at once would spin until that ends.
    constexpr std::chrono::milliseconds acceptRetryDelay { 50 };
    // Shortest time between two log lines about closed connections.
    constexpr std::chrono::seconds closedLogInterval { 1 };
    // Least limit of what a connection keeps of chunk headers and trailers, and of requests that were sent ahead.
    constexpr size_t minimumBufferLimit = 64 * 1024;

    // Lets State close connections without depending on the Connection template.
    class Closable {
    public:
        virtual ~Closable() = default;
        virtual void close() = 0;
        // Closes the connection unless its request has been received meanwhile.
        virtual void closeIfWaiting() = 0;
        // Since when the connection waits for a request, or the rest of it; nothing if it does not.
        virtual std::optional<Base::TimePoint> waitingSince() const = 0;
    };

} // namespace

struct HttpServer::State {
    explicit State(HttpServerOptions serverOptions)
        : options(std::move(serverOptions))
        , context(static_cast<int>(options.threads))
        , acceptor(asio::make_strand(context))
        , acceptTimer(acceptor.get_executor())
        , work(asio::make_work_guard(context))
        , receivedMemory(options.maximumReceivedBytes)
    {
        options.maximumConnections = std::min(options.maximumConnections, std::max<size_t>(Base::fileDescriptorLimit() / 2, 1));
    }

    HttpServerOptions options;
    std::shared_ptr<HttpHandler> handler;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::vector<std::thread> threads;
    std::atomic<size_t> connections { 0 };
    // Of the requests that are being received.
    MemoryBudget receivedMemory;
    std::atomic<uint64_t> closedConnections { 0 };
    std::atomic<Base::TimePoint> closedLoggedAt { Base::TimePoint() };
    std::atomic<bool> draining { false };
    std::atomic<bool> stopped { false };
    std::mutex openConnectionsLock;
    std::vector<std::weak_ptr<Closable>> openConnections;

    void addConnection(std::weak_ptr<Closable> connection)
    {
        std::lock_guard guard(openConnectionsLock);
        std::erase_if(openConnections, [](auto& candidate) { return candidate.expired(); });
        openConnections.push_back(std::move(connection));
    }

    // Closes the connection that has waited longest for a request. Returns false if there is none.
    bool closeLongestWaiting()
    {
        std::lock_guard guard(openConnectionsLock);
        std::shared_ptr<Closable> longest;
        std::optional<Base::TimePoint> longestSince;
        for (auto& candidate : openConnections) {
            auto connection = candidate.lock();
            auto since = connection ? connection->waitingSince() : std::nullopt;
            if (since && (!longestSince || *since < *longestSince)) {
                longest = connection;
                longestSince = since;
            }
        }
        if (longest)
            longest->closeIfWaiting();
        return longest != nullptr;
    }

    // Counts a connection that was closed or refused for a limit, and logs that now and then.
    void countClosed(std::string_view reason)
    {
        auto total = ++closedConnections;
        auto now = std::chrono::steady_clock::now();
        auto loggedAt = closedLoggedAt.load();
        if (now - loggedAt >= closedLogInterval && closedLoggedAt.compare_exchange_strong(loggedAt, now))
            Observability::logEvent(Events::connectionClosed, { { "reason", reason }, { "open", connections.load() }, { "closed", total } });
    }

    void closeConnections()
    {
        std::lock_guard guard(openConnectionsLock);
        for (auto& candidate : openConnections) {
            if (auto connection = candidate.lock())
                connection->close();
        }
    }
};

namespace {

    // One connection. Reads a request, passes it to the handler and reads the next one after the response.
    // While a response is pending, the socket is watched so that the handler is notified when the peer disconnects.
    template <typename State>
    class Connection final : public Closable, public std::enable_shared_from_this<Connection<State>> {
    public:
        Connection(tcp::socket socket, std::shared_ptr<State> state)
            : m_stream(std::move(socket))
            , m_state(std::move(state))
            , m_reservation(m_state->receivedMemory)
        {
            ++m_state->connections;
        }

        ~Connection() override
        {
            --m_state->connections;
        }

        std::optional<Base::TimePoint> waitingSince() const override
        {
            auto since = m_waitingSince.load();
            return since == Base::TimePoint() ? std::nullopt : std::optional(since);
        }

        void readRequest()
        {
            m_parser.emplace(RequestLimits { m_state->options.maximumHeaderBytes, m_state->options.maximumBodyBytes }, m_reservation);
            m_buffer.max_size(std::max({ 2 * m_state->options.maximumHeaderBytes, minimumBufferLimit, m_buffer.size() }));
            m_waitingSince = std::chrono::steady_clock::now();
            m_stream.expires_after(m_state->options.requestTimeout);
            auto self = this->shared_from_this();
            http::async_read_header(m_stream, m_buffer, *m_parser, [self](beast::error_code error, size_t) { self->onPartRead(error); });
        }

        void post(std::function<void()> work) { asio::dispatch(m_stream.get_executor(), std::move(work)); }

        void respond(HttpResponse response)
        {
            auto self = this->shared_from_this();
            post([self, response = std::move(response)] { self->sendResponse(response); });
        }

        void start(unsigned status, HttpHeaders headers)
        {
            auto self = this->shared_from_this();
            post([self, status, headers = std::move(headers)] { self->sendHead(status, headers); });
        }

        void write(std::string bytes, ResponseStream::WriteCallback written)
        {
            auto self = this->shared_from_this();
            post([self, bytes = std::move(bytes), written = std::move(written)]() mutable { self->enqueue(std::move(bytes), std::move(written)); });
        }

        void finish()
        {
            auto self = this->shared_from_this();
            post([self] { self->m_finishing = true; self->sendNext(); });
        }

        void close() override
        {
            auto self = this->shared_from_this();
            post([self] { self->closeNow(); });
        }

        void closeIfWaiting() override
        {
            auto self = this->shared_from_this();
            post([self] {
                if (self->waitingSince())
                    self->closeNow();
            });
        }

        void onDisconnect(std::function<void()> callback)
        {
            auto self = this->shared_from_this();
            post([self, callback = std::move(callback)]() mutable {
                if (self->m_closed)
                    callback();
                else
                    self->m_disconnectCallback = std::move(callback);
            });
        }

    private:
        struct PendingChunk {
            std::string bytes;
            ResponseStream::WriteCallback written;
        };

        class Stream;

        // Reads the body in parts, as far as there is memory for it beside those of other connections.
        void onPartRead(beast::error_code error)
        {
            if (error || m_parser->is_done())
                return onRequestRead(error);
            auto self = this->shared_from_this();
            http::async_read_some(m_stream, m_buffer, *m_parser, [self](beast::error_code readError, size_t) { self->onPartRead(readError); });
        }

        void onRequestRead(beast::error_code error)
        {
            m_waitingSince = Base::TimePoint();
            m_reservation.shrinkTo(0);
            if (m_closed)
                return;
            if (error == boost::system::errc::not_enough_memory)
                return rejectRequest(503);
            if (error == http::error::body_limit || error == http::error::header_limit)
                return rejectRequest(error == http::error::body_limit ? 413 : 431);
            if (error == http::error::end_of_stream || !m_parser->is_done())
                return error && error != http::error::end_of_stream && m_parser->got_some() && error.category() == http::make_error_code(http::error::bad_method).category()
                    ? rejectRequest(400)
                    : closeNow();
            if (error)
                return closeNow();
            m_keepAlive = m_parser->keep_alive();
            m_responding = true;
            // No timeout applies while the handler runs; the handler enforces its own deadline.
            m_stream.expires_never();
            watchForClose();
            auto request = m_parser->takeRequest();
            m_method = request.method;
            m_state->handler->handle(std::move(request), std::make_shared<Stream>(this->shared_from_this()));
        }

        void rejectRequest(unsigned status)
        {
            m_method.clear();
            m_keepAlive = false;
            HttpResponse response;
            response.status = status;
            response.headers = { { "Content-Type", "application/json" } };
            if (status == 503)
                return sendOutOfMemory(std::move(response));
            std::string code = status == 413 ? "body_too_large" : status == 431 ? "header_too_large"
                                                                                : "malformed_request";
            response.body = R"({"error":{"code":")" + code + R"(","message":"the request could not be read","remedy":"send a smaller or well-formed HTTP/1.1 request","outcome":"not_run"}})";
            sendResponse(response);
        }

        void sendOutOfMemory(HttpResponse response)
        {
            // The rest of the request is not read.
            m_parser.reset();
            m_state->countClosed("received");
            response.headers.push_back({ "Retry-After", "1" });
            response.body = R"({"error":{"code":"AT_LIMIT","message":"the requests that are being received have reached their limit","remedy":"retry after 1 s","outcome":"not_run"}})";
            sendResponse(response);
        }

        void watchForClose()
        {
            auto self = this->shared_from_this();
            m_stream.socket().async_wait(tcp::socket::wait_read, [self](beast::error_code error) {
                if (error || self->m_closed || !self->m_responding)
                    return;
                char byte = 0;
                beast::error_code peekError;
                self->m_stream.socket().non_blocking(true, peekError);
                auto count = self->m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
                if (count == 0 && peekError != asio::error::would_block)
                    self->closeNow();
            });
        }

        void sendResponse(const HttpResponse& response)
        {
            if (m_closed)
                return;
            bool closeAfterResponse = !m_keepAlive || m_state->draining;
            auto bytes = std::make_shared<std::string>(serializeResponse(response, !closeAfterResponse, m_method));
            m_stream.expires_after(m_state->options.writeTimeout);
            auto self = this->shared_from_this();
            asio::async_write(m_stream, asio::buffer(*bytes), [self, bytes, closeAfterResponse](beast::error_code error, size_t) {
                self->onResponseSent(error, closeAfterResponse);
            });
        }

        void sendHead(unsigned status, const HttpHeaders& headers)
        {
            if (m_closed)
                return;
            m_closeAfterResponse = !m_keepAlive || m_state->draining;
            auto head = std::make_shared<std::string>(serializeStreamHead(status, headers, !m_closeAfterResponse, m_method));
            m_mayHaveBody = mayHaveBody(m_method, status);
            m_writing = true;
            m_stream.expires_after(m_state->options.writeTimeout);
            auto self = this->shared_from_this();
            asio::async_write(m_stream, asio::buffer(*head), [self, head](beast::error_code error, size_t) {
                self->m_writing = false;
                if (error)
                    return self->closeNow();
                self->sendNext();
            });
        }

        void enqueue(std::string bytes, ResponseStream::WriteCallback written)
        {
            if (m_closed) {
                if (written)
                    written(false);
                return;
            }
            m_pendingChunk.emplace(PendingChunk { std::move(bytes), std::move(written) });
            sendNext();
        }

        void sendNext()
        {
            if (m_writing || m_closed)
                return;
            if (m_pendingChunk)
                return sendChunk();
            if (m_finishing)
                sendFinalChunk();
        }

        void sendChunk()
        {
            auto chunk = std::make_shared<PendingChunk>(std::move(*m_pendingChunk));
            m_pendingChunk.reset();
            if (chunk->bytes.empty() || !m_mayHaveBody) {
                // A chunk of size zero would end the response.
                if (chunk->written)
                    chunk->written(true);
                return;
            }
            m_writing = true;
            m_stream.expires_after(m_state->options.writeTimeout);
            auto self = this->shared_from_this();
            asio::async_write(m_stream, http::make_chunk(asio::buffer(chunk->bytes)), [self, chunk](beast::error_code error, size_t) {
                self->m_writing = false;
                if (chunk->written)
                    chunk->written(!error);
                if (error)
                    return self->closeNow();
                self->sendNext();
            });
        }

        void sendFinalChunk()
        {
            m_finishing = false;
            if (!m_mayHaveBody)
                return onResponseSent({}, m_closeAfterResponse);
            m_writing = true;
            auto self = this->shared_from_this();
            asio::async_write(m_stream, http::make_chunk_last(), [self](beast::error_code error, size_t) {
                self->m_writing = false;
                self->onResponseSent(error, self->m_closeAfterResponse);
            });
        }

        void onResponseSent(beast::error_code error, bool closeAfterResponse)
        {
            m_responding = false;
            m_disconnectCallback = nullptr;
            if (error || closeAfterResponse || m_state->stopped)
                return closeNow();
            beast::error_code ignored;
            m_stream.socket().cancel(ignored);
            readRequest();
        }

        void closeNow()
        {
            if (m_closed)
                return;
            m_closed = true;
            beast::error_code ignored;
            m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
            m_stream.close();
            if (m_pendingChunk && m_pendingChunk->written)
                m_pendingChunk->written(false);
            m_pendingChunk.reset();
            if (auto callback = std::exchange(m_disconnectCallback, nullptr))
                callback();
        }

        beast::tcp_stream m_stream;
        std::shared_ptr<State> m_state;
        beast::flat_buffer m_buffer;
        MemoryReservation m_reservation;
        std::optional<RequestParser> m_parser;
        // Zero while no request is awaited.
        std::atomic<Base::TimePoint> m_waitingSince { Base::TimePoint() };
        std::optional<PendingChunk> m_pendingChunk;
        std::function<void()> m_disconnectCallback;
        // Of the request that is being answered.
        std::string m_method;
        bool m_mayHaveBody = true;
        bool m_keepAlive = true;
        bool m_closeAfterResponse = false;
        bool m_responding = false;
        bool m_writing = false;
        bool m_finishing = false;
        bool m_closed = false;
    };

    // The handler's side of a response. Destroying it before the response ends closes the connection.
    template <typename State>
    class Connection<State>::Stream final : public ResponseStream {
    public:
        explicit Stream(std::shared_ptr<Connection> connection)
            : m_connection(std::move(connection))
        {
        }

        ~Stream() override
        {
            if (!m_ended)
                m_connection->close();
        }

        void respond(HttpResponse response) override
        {
            m_ended = true;
            m_connection->respond(std::move(response));
        }

        void start(unsigned status, HttpHeaders headers) override { m_connection->start(status, std::move(headers)); }
        void write(std::string bytes, WriteCallback written) override { m_connection->write(std::move(bytes), std::move(written)); }

        void finish() override
        {
            m_ended = true;
            m_connection->finish();
        }

        void abort() override
        {
            m_ended = true;
            m_connection->close();
        }

        void onDisconnect(std::function<void()> callback) override { m_connection->onDisconnect(std::move(callback)); }

    private:
        std::shared_ptr<Connection> m_connection;
        std::atomic<bool> m_ended { false };
    };

    // Whether another connection may be opened; one that waits for a request may be closed for it.
    template <typename State>
    bool makeRoom(State& state)
    {
        if (state.connections < state.options.maximumConnections)
            return true;
        bool isReplaced = state.closeLongestWaiting();
        state.countClosed(isReplaced ? "replaced" : "refused");
        // A connection that is being closed still has its descriptor.
        constexpr size_t closingConnections = 16;
        return isReplaced && state.connections < state.options.maximumConnections + closingConnections;
    }

    template <typename State>
    void acceptNext(const std::shared_ptr<State>& state);

    template <typename State>
    void acceptAfterDelay(const std::shared_ptr<State>& state)
    {
        state->acceptTimer.expires_after(acceptRetryDelay);
        state->acceptTimer.async_wait([state](beast::error_code error) {
            if (!error && !state->stopped && state->acceptor.is_open())
                acceptNext(state);
        });
    }

    template <typename State>
    void acceptNext(const std::shared_ptr<State>& state)
    {
        state->acceptor.async_accept(asio::make_strand(state->context), [state](beast::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || state->stopped)
                return;
            if (error)
                return acceptAfterDelay(state);
            if (makeRoom(*state)) {
                beast::error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                if (state->options.sendBufferBytes)
                    socket.set_option(asio::socket_base::send_buffer_size(state->options.sendBufferBytes), ignored);
                auto connection = std::make_shared<Connection<State>>(std::move(socket), state);
                state->addConnection(connection);
                connection->readRequest();
            }
            acceptNext(state);
        });
    }

} // namespace

HttpServer::HttpServer(HttpServerOptions options, std::shared_ptr<HttpHandler> handler)
    : m_state(std::make_shared<State>(std::move(options)))
{
    m_state->handler = std::move(handler);
    tcp::endpoint endpoint(asio::ip::make_address(m_state->options.listen.host), m_state->options.listen.port);
    beast::error_code error;
    m_state->acceptor.open(endpoint.protocol(), error);
    m_state->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    m_state->acceptor.bind(endpoint, error);
    if (!error)
        m_state->acceptor.listen(listenBacklog, error);
    if (error)
        throw std::runtime_error("cannot listen on " + m_state->options.listen.toString() + ": " + error.message() + "; give a free address in the settings");
    acceptNext(m_state);
    for (unsigned i = 0; i < std::max(1u, m_state->options.threads); ++i)
        m_state->threads.emplace_back([state = m_state] { runEventLoop(state->context); });
}

HttpServer::~HttpServer()
{
    stop();
}

uint16_t HttpServer::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

size_t HttpServer::connectionCount() const
{
    return m_state->connections;
}

uint64_t HttpServer::closedConnections() const
{
    return m_state->closedConnections;
}

void HttpServer::drain()
{
    m_state->draining = true;
    asio::post(m_state->acceptor.get_executor(), [state = m_state] {
        beast::error_code ignored;
        state->acceptor.close(ignored);
        state->acceptTimer.cancel();
    });
}

void HttpServer::stop()
{
    if (m_state->stopped.exchange(true))
        return;
    // Pending operations hold references to the state; closing every socket completes them, so that the threads return.
    drain();
    m_state->closeConnections();
    m_state->work.reset();
    for (auto& thread : m_state->threads)
        thread.join();
}

} // namespace Lavenderloft::Http
