#include "Http/HttpClient.h"

#include "Http/EventLoop.h"
#include "Http/ResponseStatus.h"
#include "Http/WireFormat.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <limits>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_set>

namespace Lavenderloft::Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

struct HttpClient::State {
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work { asio::make_work_guard(context) };
    std::vector<std::thread> threads;
    std::mutex lock;
    std::vector<std::weak_ptr<HttpCall>> calls;
    bool shutDown = false;

    // Registers a call for cancellation by shutDown(), and cancels it if the client is shut down already.
    void track(const std::shared_ptr<HttpCall>& call)
    {
        bool isShutDown = false;
        {
            std::lock_guard guard(lock);
            std::erase_if(calls, [](auto& candidate) { return candidate.expired(); });
            calls.push_back(call);
            isShutDown = shutDown;
        }
        if (isShutDown)
            call->cancel();
    }
};

namespace {

    constexpr size_t readBufferBytes = 16 * 1024;
    // Limit of what the parser keeps while it looks for the end of a head, a chunk header or a trailer.
    constexpr size_t maximumBufferedBytes = 64 * 1024;
    // Limit for a response that is held in memory.
    constexpr uint64_t maximumFetchedBytes = 16 * 1024 * 1024;

    // How much of a response a call reads.
    struct ResponseLimits {
        uint64_t bodyBytes = std::numeric_limits<uint64_t>::max();
        // The timeout applies to the response as a whole instead of each read.
        bool timeoutCoversResponse = false;
    };

    // Leaves the last field of each name, and none that this client sets itself.
    HttpHeaders withoutRepeatedNames(HttpHeaders headers)
    {
        std::unordered_set<std::string> names { "host", "connection", "content-length", "transfer-encoding" };
        HttpHeaders kept;
        for (auto header = headers.rbegin(); header != headers.rend(); ++header) {
            if (names.insert(lowerCaseName(header->name)).second)
                kept.push_back(std::move(*header));
        }
        std::reverse(kept.begin(), kept.end());
        return kept;
    }

    class Call final : public HttpCall, public std::enable_shared_from_this<Call> {
    public:
        Call(asio::io_context& context, Endpoint endpoint, std::chrono::milliseconds idleTimeout, ResponseLimits limits, std::shared_ptr<ResponseSink> sink)
            : m_stream(asio::make_strand(context))
            , m_endpoint(std::move(endpoint))
            , m_idleTimeout(idleTimeout)
            , m_limits(limits)
            , m_sink(std::move(sink))
        {
        }

        void start(HttpRequest request)
        {
            request.headers = withoutRepeatedNames(std::move(request.headers));
            request.headers.push_back({ "Host", m_endpoint.toString() });
            request.headers.push_back({ "Connection", "close" });
            m_head = serializeRequestHead(request, request.body.size());
            m_body = std::move(request.body);
            asio::dispatch(m_stream.get_executor(), [self = shared_from_this()] { self->connect(); });
        }

        void cancel() override
        {
            asio::post(m_stream.get_executor(), [self = shared_from_this()] {
                self->m_cancelled = true;
                self->m_stream.close();
                self->fail(HttpErrorKind::Cancelled, "the request was cancelled");
            });
        }

    private:
        void connect()
        {
            boost::system::error_code error;
            auto address = asio::ip::make_address(m_endpoint.host, error);
            if (error)
                return fail(HttpErrorKind::NotSent, error.message());
            m_stream.expires_after(m_idleTimeout);
            m_stream.async_connect(tcp::endpoint(address, m_endpoint.port), [self = shared_from_this()](beast::error_code connectError) {
                if (connectError)
                    return self->fail(HttpErrorKind::NotSent, connectError.message());
                beast::error_code ignored;
                self->m_stream.socket().set_option(tcp::no_delay(true), ignored);
                self->sendRequest();
            });
        }

        void sendRequest()
        {
            m_stream.expires_after(m_idleTimeout);
            std::array<asio::const_buffer, 2> buffers { asio::buffer(m_head), asio::buffer(m_body) };
            asio::async_write(m_stream, buffers, [self = shared_from_this()](beast::error_code error, size_t) {
                if (error)
                    return self->failWith(error);
                self->readHead();
            });
        }

        void readHead()
        {
            m_parser.emplace();
            m_parser->body_limit(m_limits.bodyBytes);
            // Interim responses do not extend the time of a response whose time is limited as a whole.
            if (!m_limits.timeoutCoversResponse || m_interimResponses == 0)
                m_stream.expires_after(m_idleTimeout);
            http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, size_t) {
                if (error)
                    return self->failWith(error);
                // cancel() may have run between the arrival of the data and this handler.
                if (self->m_ended)
                    return;
                self->takeHead();
            });
        }

        void takeHead()
        {
            auto& message = m_parser->get();
            auto status = message.result_int();
            if (!isValidStatus(status))
                return fail(HttpErrorKind::Broken, "the status " + std::to_string(status) + " is no status of a response");
            if (isInterimStatus(status)) {
                if (++m_interimResponses > maximumInterimResponses)
                    return fail(HttpErrorKind::Broken, "too many interim responses");
                return readHead();
            }
            HttpHeaders headers;
            for (auto& field : message)
                headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            m_sink->head(status, std::move(headers));
            readBody();
        }

        void readBody()
        {
            if (m_ended)
                return;
            if (m_parser->is_done())
                return succeed();
            m_parser->get().body().data = m_readBuffer.data();
            m_parser->get().body().size = m_readBuffer.size();
            if (!m_limits.timeoutCoversResponse)
                m_stream.expires_after(m_idleTimeout);
            http::async_read_some(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, size_t) {
                if (error == http::error::need_buffer)
                    error = {};
                if (error)
                    return self->failWith(error);
                self->deliverData();
            });
        }

        void deliverData()
        {
            if (m_ended)
                return;
            auto count = m_readBuffer.size() - m_parser->get().body().size;
            if (!count)
                return readBody();
            // No timeout applies until the sink resumes the transfer.
            if (!m_limits.timeoutCoversResponse)
                m_stream.expires_never();
            m_sink->data(std::string(m_readBuffer.data(), count), [self = shared_from_this()] {
                asio::post(self->m_stream.get_executor(), [self] { self->readBody(); });
            });
        }

        void succeed()
        {
            if (std::exchange(m_ended, true))
                return;
            m_stream.close();
            m_sink->end(Base::Done {});
            m_sink.reset();
        }

        void failWith(beast::error_code error)
        {
            fail(error == beast::error::timeout ? HttpErrorKind::TimedOut : HttpErrorKind::Broken, error.message());
        }

        void fail(HttpErrorKind kind, const std::string& reason)
        {
            if (std::exchange(m_ended, true))
                return;
            m_stream.close();
            m_sink->end(HttpError { m_cancelled ? HttpErrorKind::Cancelled : kind, "request to " + m_endpoint.toString() + " failed: " + reason, "check the address and that the server is running" });
            m_sink.reset();
        }

        beast::tcp_stream m_stream;
        Endpoint m_endpoint;
        std::chrono::milliseconds m_idleTimeout;
        ResponseLimits m_limits;
        std::shared_ptr<ResponseSink> m_sink;
        // Of the request.
        std::string m_head;
        std::string m_body;
        std::optional<http::response_parser<http::buffer_body>> m_parser;
        unsigned m_interimResponses = 0;
        beast::flat_buffer m_buffer { maximumBufferedBytes };
        std::array<char, readBufferBytes> m_readBuffer {};
        bool m_cancelled = false;
        bool m_ended = false;
    };

    // Buffers a complete response for fetch().
    class ResponseCollector final : public ResponseSink {
    public:
        void head(unsigned status, HttpHeaders headers) override
        {
            m_response.status = status;
            m_response.headers = std::move(headers);
        }

        void data(std::string bytes, std::function<void()> resume) override
        {
            m_response.body += bytes;
            resume();
        }

        void end(Base::Result<Base::Done, HttpError> result) override
        {
            if (Base::succeeded(result))
                m_promise.set_value(std::move(m_response));
            else
                m_promise.set_value(Base::errorOf(result));
        }

        std::future<Base::Result<HttpResponse, HttpError>> future() { return m_promise.get_future(); }

    private:
        HttpResponse m_response;
        std::promise<Base::Result<HttpResponse, HttpError>> m_promise;
    };

} // namespace

HttpClient::HttpClient(unsigned threads)
    : m_state(std::make_shared<State>())
{
    for (unsigned i = 0; i < threads; ++i)
        m_state->threads.emplace_back([state = m_state.get()] { runEventLoop(state->context); });
}

HttpClient::~HttpClient()
{
    m_state->work.reset();
    m_state->context.stop();
    for (auto& thread : m_state->threads)
        thread.join();
}

std::shared_ptr<HttpCall> HttpClient::send(const Endpoint& endpoint, HttpRequest request, std::chrono::milliseconds idleTimeout, std::shared_ptr<ResponseSink> sink)
{
    auto call = std::make_shared<Call>(m_state->context, endpoint, idleTimeout, ResponseLimits {}, std::move(sink));
    call->start(std::move(request));
    m_state->track(call);
    return call;
}

Base::Result<HttpResponse, HttpError> HttpClient::fetch(const Endpoint& endpoint, HttpRequest request, std::chrono::milliseconds timeout)
{
    auto collector = std::make_shared<ResponseCollector>();
    auto future = collector->future();
    ResponseLimits limits { maximumFetchedBytes, true };
    auto call = std::make_shared<Call>(m_state->context, endpoint, timeout, limits, collector);
    call->start(std::move(request));
    m_state->track(call);
    return future.get();
}

void HttpClient::shutDown()
{
    std::vector<std::weak_ptr<HttpCall>> calls;
    {
        std::lock_guard guard(m_state->lock);
        m_state->shutDown = true;
        calls = m_state->calls;
    }
    for (auto& candidate : calls) {
        if (auto call = candidate.lock())
            call->cancel();
    }
}

} // namespace Lavenderloft::Http
