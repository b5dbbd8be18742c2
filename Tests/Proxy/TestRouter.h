#pragma once

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Dispatch/BoundedWaitPolicy.h"
#include "Dispatch/PowerOfTwoChoicesPolicy.h"
#include "Fleet/FleetFixture.h"
#include "Http/IoContextPool.h"
#include "Proxy/CallerServer.h"
#include "Proxy/ScriptedTarget.h"
#include "platform/HeaderCodec.h"

#include <atomic>
#include <functional>
#include <thread>

namespace Lavenderloft::Proxy {

// The system's clock, at one reading of which something else happens first, as if another thread went on meanwhile.
class InterruptedClock final : public Base::Clock {
public:
    // The action runs at the reading with the given number, counted from one.
    void interruptAtReading(unsigned number, std::function<void()> action)
    {
        m_action = std::move(action);
        m_readingsLeft = number;
    }

    Base::TimePoint now() const override
    {
        if (m_readingsLeft > 0 && --m_readingsLeft == 0)
            m_action();
        return m_clock.now();
    }

    Base::WallTime wallTime() const override { return m_clock.wallTime(); }

private:
    Base::SystemClock m_clock;
    std::function<void()> m_action;
    mutable std::atomic<unsigned> m_readingsLeft { 0 };
};

// The proxy of a router on loopback, with a fleet published by the test.
class TestRouter {
public:
    // Of each request.
    static constexpr std::chrono::milliseconds callerDeadline { 30000 };

    // Connections of callers, and the idle connections to targets, are distributed over the event loops.
    // Target latency and longest pause of routes that are published afterwards. Another target is looked for after three
    // times as long, and at least a second, so that a target that is slow on a busy machine is not replaced.
    std::chrono::milliseconds expectedPause { 2000 };

    explicit TestRouter(unsigned eventLoops = 2, uint64_t bodyLimitBytes = Http::MemoryBudget::defaultLimitBytes)
        : m_pool(eventLoops)
        , m_dispatch(m_fleet.state, nodeSettings(), std::make_unique<Dispatch::PowerOfTwoChoicesPolicy>(), std::make_unique<Dispatch::BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(1))
        , m_context { m_codec, m_fleet.state, m_dispatch, m_clock, m_metrics, Http::MemoryBudget(bodyLimitBytes) }
    {
        for (size_t i = 0; i < m_pool.size(); ++i)
            m_workers.emplace_back(new ProxyWorker { m_pool.context(i), {}, {} });
        m_server = std::make_shared<CallerServer>(m_context, m_workers, Http::Endpoint { "127.0.0.1", 0 });
        m_server->start();
        m_thread = std::thread([this] { m_pool.run(); });
    }

    ~TestRouter()
    {
        m_pool.stop();
        m_thread.join();
    }

    // Publishes a configuration with one route for the host "h", and keeps the router in contact with the store.
    void setRoute(Fleet::RequestKind kind, unsigned maximumAttempts, bool resumable = false, std::chrono::milliseconds timeout = std::chrono::seconds(30))
    {
        publishRoute(kind, maximumAttempts, resumable, timeout);
        recordContactWithStore(m_clock.now() + std::chrono::hours(1));
    }

    void publishRoute(Fleet::RequestKind kind, unsigned maximumAttempts, bool resumable = false, std::chrono::milliseconds timeout = std::chrono::seconds(30))
    {
        auto route = std::make_shared<Fleet::Route>();
        route->name = "r";
        route->host = "h";
        route->prefix = "/";
        route->kind = kind;
        route->timeout = timeout;
        route->targetLatency = expectedPause;
        route->maximumEventGap = expectedPause;
        route->services = { { "s", 1 } };
        route->maximumAttempts = maximumAttempts;
        route->resumable = resumable;
        auto configuration = std::make_shared<Fleet::Configuration>();
        configuration->version = 1;
        configuration->routes["h"] = { route };
        m_fleet.publish("c", Fleet::ConfigurationPublished { configuration });
    }

    // Publishes a configuration that allows nothing.
    void publishNoRoutes()
    {
        m_fleet.publish("c", Fleet::configurationOf(1));
    }

    // Records that the router knows all items published up to the given time.
    void recordContactWithStore(Base::TimePoint time) { Fleet::Commands::recordCompleteness(m_fleet.state, { time, "store" }); }

    // Makes the service one of engines that hold version 1 of their weights, and declares version 2 so long ago.
    void declareWeights(std::chrono::milliseconds age)
    {
        auto configuration = std::make_shared<Fleet::Configuration>(*m_fleet.snapshot()->configuration);
        Fleet::Service engines;
        engines.name = "s";
        engines.weights = Fleet::WeightLayout { 1, m_layers, { "m" } };
        configuration->services["s"] = engines;
        m_fleet.publish("c", Fleet::ConfigurationPublished { configuration });
        m_fleet.clock.advance(m_clock.now() - m_fleet.clock.now());
        m_fleet.publish("w", Fleet::WeightsDeclared { "m", 2 }, age);
    }

    void addTarget(const std::string& id, const ScriptedTarget& target) { addTargetAt(id, target.port()); }

    void addTargetAt(const std::string& id, uint16_t port, unsigned slots = 4)
    {
        auto published = Fleet::targetOf(id, "s", "dc-a", slots);
        published.entry.address = { "127.0.0.1", port };
        published.entry.layers = Fleet::HeldLayers { 0, m_layers, 1 };
        m_fleet.publish("t/" + id, published);
    }

    const Base::Clock& clock() const { return m_clock; }
    InterruptedClock& interruptedClock() { return m_clock; }

    void removeTarget(const std::string& id) { m_fleet.remove("t/" + id); }

    // Sends a request and returns all bytes up to the end of the connection.
    std::string exchange(const std::string& method = "GET", const std::string& headers = "", const std::string& host = "h")
    {
        boost::asio::io_context context;
        auto socket = send(context, method, headers + "Connection: close\r\n", host);
        return readAll(socket);
    }

    boost::asio::ip::tcp::socket send(boost::asio::io_context& context, const std::string& method, const std::string& headers, const std::string& host = "h")
    {
        auto identified = "Lavenderloft-Request-Id: id-" + std::to_string(++m_requests) + "\r\n" + headers;
        return sendWithoutId(context, method, identified, host);
    }

    boost::asio::ip::tcp::socket sendWithoutId(boost::asio::io_context& context, const std::string& method, const std::string& headers, const std::string& host = "h")
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_server->port() });
        auto request = method + " /p HTTP/1.1\r\nHost: " + host + "\r\nLavenderloft-Deadline-Ms: " + std::to_string(callerDeadline.count()) + "\r\n" + headers + "\r\n";
        boost::asio::write(socket, boost::asio::buffer(request));
        return socket;
    }

    static std::string readAll(boost::asio::ip::tcp::socket& socket)
    {
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
        return bytes;
    }

    std::string metrics() const { return m_metrics.serialize(); }
    ProxyContext& context() { return m_context; }
    CallerServer& server() { return *m_server; }
    boost::asio::io_context& eventLoop() { return m_pool.context(0); }
    // Of the first event loop.
    ProxyWorker& worker() { return *m_workers.front(); }

    // Requests of the service that are at a target or wait for one.
    size_t requestsInDispatch()
    {
        return m_dispatch.withService("s", [](Dispatch::ServiceState& service) {
            auto count = service.waiting.size();
            for (auto& [id, target] : service.targets)
                count += target.inFlight;
            return count;
        });
    }

private:
    static Fleet::NodeSettings nodeSettings()
    {
        Fleet::NodeSettings settings;
        settings.dataCentre = "dc-a";
        settings.region = "r-a";
        settings.regionByDataCentre = { { "dc-a", "r-a" } };
        return settings;
    }

    // Of the weights that the targets hold, if they are engines.
    static constexpr unsigned m_layers = 4;

    InterruptedClock m_clock;
    Platform::HeaderCodec m_codec;
    Observability::Metrics m_metrics;
    Fleet::TestFleetState m_fleet;
    Http::IoContextPool m_pool;
    Dispatch::DispatchState m_dispatch;
    ProxyContext m_context;
    std::vector<std::unique_ptr<ProxyWorker>> m_workers;
    std::shared_ptr<CallerServer> m_server;
    std::thread m_thread;
    // Requests sent so far; each has an id of its own.
    std::atomic<unsigned> m_requests { 0 };
};

// A sealed response to the request with the given head.
inline std::string sealedResponse(const std::string& head, const std::string& body, unsigned status = 200)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Response-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Head of a sealed response with a chunked body.
inline std::string sealedStreamHead(const std::string& head)
{
    return "HTTP/1.1 200 OK\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";
}

// Head of a sealed response with neither a length nor chunks, which ends with its connection.
inline std::string sealedUnboundedHead(const std::string& head)
{
    return "HTTP/1.1 200 OK\r\nLavenderloft-Request-Id: " + fieldOf(head, "Lavenderloft-Request-Id") + "\r\nLavenderloft-Response-Seal: seal\r\n\r\n";
}

inline std::string chunkOf(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Head of a response without a length that belongs to another request.
inline std::string unboundedHeadOfAnotherRequest(const std::string&)
{
    return "HTTP/1.1 200 OK\r\nLavenderloft-Request-Id: other\r\nLavenderloft-Response-Seal: seal\r\n\r\n";
}

inline bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace Lavenderloft::Proxy
