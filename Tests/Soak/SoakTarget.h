#pragma once

#include "Soak/FaultyLink.h"
#include "Soak/RequestLedger.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <random>

namespace Lavenderloft::Soak {

namespace beast = boost::beast;
namespace http = boost::beast::http;

inline constexpr unsigned streamEvents = 10;

inline std::string eventOf(const std::string& id, unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + " " + std::to_string(number) + "\n\n";
}

// A target of a plain service or of streams, which misbehaves as it is told.
class SoakTarget {
public:
    enum class Behaviour {
        Sound,
        // Refuses each request and states that it did not run.
        Refusing,
        // Runs each request and resets the connection.
        Resetting,
        // Runs each request and closes the connection inside the head of the response.
        CuttingHead,
        // Runs each request and sends nothing.
        Hanging,
        // Runs each request and responds late.
        Slow,
        // Runs each request and sends the response twice.
        Repeating,
    };

    SoakTarget(asio::io_context& context, RequestLedger& ledger, unsigned seed)
        : m_context(context)
        , m_ledger(ledger)
        , m_random(seed)
        , m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_link(context, m_acceptor.local_endpoint().port())
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    FaultyLink& link() { return m_link; }

    static std::string chunkOf(const std::string& bytes)
    {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    // The id under which the target is published; requests for another one are rejected.
    std::string id;
    Behaviour behaviour = Behaviour::Sound;
    // While true, the target accepts nothing and its connections are reset.
    bool isDown = false;
    // Requests that run at the same time; more are refused.
    unsigned capacity = 1000;
    // Time before the first part of a response, and between the events of a stream.
    std::chrono::milliseconds firstPartDelay { 0 };
    std::chrono::milliseconds eventInterval { 20 };

    // Requests are at fault from then on, because every router has to know that the target drains.
    std::optional<SteadyClock::time_point> drainedSince;

    // Sends nothing to anyone for a time and goes on then. All requests are at work meanwhile.
    void fallSilent(std::chrono::milliseconds duration) { m_silentUntil = SteadyClock::now() + duration; }

    // From now on the target names a limit of requests per second, as long as it has its present id.
    void nameLimit(double requestsPerSecond) { m_limit = NamedLimit { id, requestsPerSecond, SteadyClock::now(), {} }; }

    void crash()
    {
        isDown = true;
        m_link.resetConnections();
    }

private:
    struct NamedLimit {
        std::string id;
        double requestsPerSecond;
        SteadyClock::time_point since;
        // Requests in the last limitWindow, after all routers could know the limit.
        std::deque<SteadyClock::time_point> arrivals;
    };

    static constexpr std::chrono::seconds limitWindow { 4 };
    // Until then routers may not have heard of a limit.
    static constexpr std::chrono::milliseconds limitNoticeTime { 3500 };

    using Request = http::request<http::string_body>;

    asio::awaitable<void> accept()
    {
        while (true) {
            boost::system::error_code error;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return;
            if (!isDown)
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        boost::system::error_code error;
        bool isOpen = true;
        while (isOpen) {
            Request request;
            co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
            if (error || isDown)
                co_return;
            isOpen = co_await respond(stream, request);
        }
    }

    std::string headOf(unsigned status, const std::string& requestId, const std::string& fields) const
    {
        auto limit = isLimited() ? "Server-Limit: " + std::to_string(m_limit->requestsPerSecond) + "\r\n" : std::string();
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nLavenderloft-Request-Id: " + requestId + "\r\n" + limit + fields;
    }

    bool isLimited() const { return m_limit && m_limit->id == id; }

    void checkLimit()
    {
        auto now = SteadyClock::now();
        if (!isLimited() || now < m_limit->since + limitNoticeTime)
            return;
        auto& arrivals = m_limit->arrivals;
        arrivals.push_back(now);
        while (arrivals.front() <= now - limitWindow)
            arrivals.pop_front();
        auto allowed = static_cast<size_t>(1.5 * m_limit->requestsPerSecond * std::chrono::duration<double>(limitWindow).count() + 5);
        if (arrivals.size() > allowed)
            m_ledger.addViolation("LIMIT", id + " got " + std::to_string(arrivals.size()) + " requests in 4 s, allowed " + std::to_string(allowed));
    }

    asio::awaitable<bool> write(beast::tcp_stream& stream, std::string bytes)
    {
        boost::system::error_code error;
        co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        co_return !error;
    }

    // Returns whether the connection stays open.
    asio::awaitable<bool> respond(beast::tcp_stream& stream, const Request& request)
    {
        auto requestId = std::string(request["Lavenderloft-Request-Id"]);
        if (request["Lavenderloft-Expect-Instance"] != id)
            co_return co_await write(stream, headOf(421, requestId, "Content-Length: 0\r\n\r\n"));
        checkLimit();
        if (drainedSince && SteadyClock::now() > *drainedSince)
            m_ledger.addViolation("DRAINED", requestId + " was sent to " + id + ", which drains");
        if (behaviour == Behaviour::Refusing || m_running >= capacity)
            co_return co_await write(stream, headOf(503, requestId, "Lavenderloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
        m_ledger.recordRun(requestId, request.body());
        ++m_running;
        bool isOpen = co_await run(stream, request);
        --m_running;
        co_return isOpen;
    }

    asio::awaitable<bool> run(beast::tcp_stream& stream, const Request& request)
    {
        auto requestId = std::string(request["Lavenderloft-Request-Id"]);
        auto current = behaviour;
        co_await pause(std::chrono::milliseconds(10 + m_random() % 60));
        if (current == Behaviour::Slow)
            co_await pause(std::chrono::milliseconds(700));
        if (current == Behaviour::Hanging)
            co_await pause(std::chrono::seconds(6));
        if (current == Behaviour::Hanging)
            co_return false;
        if (current == Behaviour::Resetting) {
            boost::system::error_code ignored;
            stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            co_return false;
        }
        co_await work(requestId, firstPartDelay);
        auto seal = "Lavenderloft-Response-Seal: seal." + requestId + "\r\nKeep-Alive: timeout=10\r\n";
        if (current == Behaviour::CuttingHead) {
            co_await write(stream, headOf(200, requestId, seal));
            co_return false;
        }
        if (request.target().starts_with("/draft"))
            co_return co_await respondWithEvents(stream, request, headOf(200, requestId, seal));
        auto body = RequestLedger::answerTo(requestId);
        auto response = headOf(200, requestId, seal) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (current == Behaviour::Repeating)
            response += response;
        co_return co_await write(stream, response);
    }

    asio::awaitable<bool> respondWithEvents(beast::tcp_stream& stream, const Request& request, std::string head)
    {
        auto requestId = std::string(request["Lavenderloft-Request-Id"]);
        auto lastEvent = std::string(request["Last-Event-Id"]);
        unsigned next = lastEvent.empty() ? 1 : static_cast<unsigned>(std::stoul(lastEvent)) + 1;
        bool isOpen = co_await write(stream, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (; isOpen && next <= streamEvents; ++next) {
            co_await work(requestId, eventInterval);
            isOpen = co_await write(stream, chunkOf(eventOf(requestId, next)));
        }
        if (isOpen)
            isOpen = co_await write(stream, "0\r\n\r\n");
        co_return isOpen;
    }

    // Takes longer if the target is silent.
    asio::awaitable<void> work(const std::string& requestId, std::chrono::milliseconds duration)
    {
        auto until = SteadyClock::now() + duration;
        while (SteadyClock::now() < std::max(until, m_silentUntil)) {
            m_ledger.recordWork(requestId);
            co_await pause(std::chrono::milliseconds(5));
        }
    }

    asio::io_context& m_context;
    RequestLedger& m_ledger;
    std::mt19937 m_random;
    unsigned m_running = 0;
    SteadyClock::time_point m_silentUntil;
    std::optional<NamedLimit> m_limit;
    tcp::acceptor m_acceptor;
    FaultyLink m_link;
};

} // namespace Lavenderloft::Soak
