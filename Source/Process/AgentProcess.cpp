#include "Process/AgentProcess.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/QueueRequest.h"
#include "Admission/Commands/ReserveKey.h"
#include "Admission/Commands/RunRequest.h"
#include "Admission/Events.h"
#include "Admission/Queries/CurrentLimit.h"
#include "Admission/Queries/FindRefusal.h"
#include "Http/HttpServer.h"
#include "Observability/Log.h"
#include "Process/AgentAdminHandler.h"
#include "Process/EngineMonitor.h"
#include "Process/Events.h"
#include "Process/TargetNode.h"
#include "Transport/TargetServiceServer.h"

#include <boost/asio.hpp>
#include <csignal>
#include <grpcpp/grpcpp.h>

namespace Lavenderloft::Process {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds tickInterval { 250 };
    // Time that slow readers get to take the rest of their answers after the target has given them.
    constexpr std::chrono::seconds streamEndTime { 30 };
    // Keeps keys while the document in force does not declare the service.
    constexpr std::chrono::hours windowOfUndeclaredService { 24 };
    constexpr unsigned clientThreads = 2;
    // Routers ping every 2 s; a server that finds that too often would close the connection.
    constexpr int shortestPingIntervalMs = 1000;
    constexpr int keepAliveMs = 2000;
    // With the part under way, a stream holds less than 64 KiB.
    constexpr int writeBufferBytes = 32 * 1024;

    Http::Endpoint endpointOf(const std::string& address, const char* name)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error(std::string("setting \"") + name + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    Http::HttpServerOptions adminOptions(const Settings::ProcessSettings& settings)
    {
        Http::HttpServerOptions options;
        options.listen = endpointOf(settings.admin, "admin");
        options.threads = 1;
        return options;
    }

    bool isModel(const Settings::ProcessSettings& settings)
    {
        return settings.target->kind == Settings::TargetKind::Model;
    }

} // namespace

struct AgentProcess::State {
    explicit State(AgentParts agentParts)
        : parts(std::move(agentParts))
        , situation(parts.settings, parts.control, parts.clock)
        , client(std::make_unique<Http::HttpClient>(clientThreads))
        , target(std::make_shared<TargetContext>(parts.control.self().incarnation, parts.settings.target->kind, endpointOf(parts.settings.target->endpoint, "target.endpoint"), situation, *client, parts.clock, parts.random, parts.metrics))
        , node(target)
        , service(Transport::makeTargetService(node, parts.clock))
        , timer(context)
        , signals(context, SIGTERM, SIGINT)
    {
        // A request before the engine's first answer must not find room.
        target->state.permits.occupancy.setByteLimit(Admission::Queries::requestByteLimit(0, 0));
        if (isModel(parts.settings))
            makeModelParts();
        startServer();
        admin = std::make_unique<Http::HttpServer>(adminOptions(parts.settings), std::make_shared<AgentAdminHandler>(parts.metrics, situation));
    }

    ~State()
    {
        server->Shutdown(std::chrono::system_clock::now());
        admin->stop();
        // Ends the threads that run requests before what they use goes.
        client.reset();
    }

    void makeModelParts()
    {
        driver = std::make_shared<ReplicaDriver>(ReplicaDriver::Parts { parts.control, parts.weights, *parts.engine, situation, *target, parts.clock, parts.settings.vm });
        monitor = std::make_unique<EngineMonitor>(*parts.engine, situation, *target, *driver, parts.control, parts.crashObserver);
        parts.control.onChange([weak = std::weak_ptr(driver)] {
            if (auto strong = weak.lock())
                strong->wake();
        });
    }

    void startServer()
    {
        grpc::ServerBuilder builder;
        // Only one process at a time may serve a VM's name; without this a second one would share the port.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, shortestPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        // A router whose VM is gone must not hold a running request for good.
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveMs);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_WRITE_BUFFER_SIZE, writeBufferBytes);
        builder.AddListeningPort(parts.settings.inner, parts.credentials->server(), &innerPort);
        builder.RegisterService(service.get());
        for (auto& further : parts.services)
            builder.RegisterService(further);
        server = builder.BuildAndStart();
        if (!server || !innerPort)
            throw std::runtime_error("setting \"inner\": " + parts.settings.inner + " cannot be bound; check that no other process uses it");
    }

    void run()
    {
        Observability::logEvent(processStarted, { { "role", "agent" }, { "vm", parts.settings.vm }, { "innerPort", innerPort }, { "adminPort", admin->port() } });
        signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error)
                beginStop();
        });
        if (driver)
            driver->start();
        tick();
        context.run();
        server->Shutdown(std::chrono::system_clock::now() + (isAborted ? std::chrono::seconds(0) : streamEndTime));
        if (driver)
            driver->stop();
        Observability::logEvent(processStopped, { { "vm", parts.settings.vm } });
    }

    void beginStop()
    {
        if (situation.isLeaving())
            return;
        Observability::logEvent(processStopping, { { "vm", parts.settings.vm }, { "running", target->load().running } });
        situation.setLeaving();
        parts.control.publishLeaving();
    }

    void abort()
    {
        isAborted = true;
        context.stop();
    }

    void tick()
    {
        if (situation.pauseDetector().tick())
            dropStaleState();
        if (monitor)
            monitor->poll();
        else
            pollService();
        refreshAdmission();
        publish();
        if (driver)
            driver->wake();
        if (situation.isLeaving() && !target->load().running) {
            signals.cancel();
            return;
        }
        timer.expires_after(tickInterval);
        timer.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                tick();
        });
    }

    void dropStaleState()
    {
        Observability::logEvent(processPaused, { { "vm", parts.settings.vm } });
        Admission::Commands::invalidatePermits(target->state, parts.clock);
        if (driver)
            driver->dropOrders();
    }

    // A plain service tells nothing of itself; its limit is the declared one.
    void pollService()
    {
        auto document = parts.control.document();
        auto* declared = document ? document->findService(parts.settings.target->service) : nullptr;
        if (declared) {
            Admission::Commands::configureLimit(target->state.limit, { declared->limit, declared->limit, {} });
            Admission::Commands::applyEngineCondition(target->state, { true, 1, {}, true, true }, parts.clock);
        }
        situation.pauseDetector().resume();
    }

    void refreshAdmission()
    {
        auto document = parts.control.document();
        auto* declared = document ? document->findService(parts.settings.target->service) : nullptr;
        auto window = declared ? declared->resendWindow : std::chrono::milliseconds(windowOfUndeclaredService);
        if (declared)
            Admission::Commands::updateHomes(target->state.keys, *declared, parts.clock);
        Admission::Commands::expireRecords(target->state, window, parts.clock);
        if (Admission::Queries::isAccepting(situation.admissionContext()))
            return target->grantWaiting();
        Admission::Commands::refuseAll(target->state.queue, Admission::makeRefusal(Admission::RefusalReason::NotReady, "the target takes on no more work", "use another target"));
    }

    void publish()
    {
        auto load = target->load();
        parts.metrics.set("lavenderloft_target_running", {}, load.running);
        parts.metrics.set("lavenderloft_target_limit", {}, load.limit);
        parts.metrics.set("lavenderloft_target_queued", {}, load.queued);
        parts.metrics.set("lavenderloft_target_held_bytes", {}, static_cast<double>(load.heldBytes));
        if (std::exchange(lastLimit, load.limit) != load.limit)
            Observability::logEvent(Admission::limitChanged, { { "vm", parts.settings.vm }, { "limit", load.limit } });
        if (driver)
            return driver->publish();
        Membership::Replica replica;
        replica.pool = parts.settings.target->service;
        replica.phase = Membership::ReplicaPhase::Ready;
        parts.control.publish(load, { replica });
    }

    AgentParts parts;
    AgentSituation situation;
    std::unique_ptr<Http::HttpClient> client;
    std::shared_ptr<TargetContext> target;
    TargetNode node;
    std::shared_ptr<grpc::Service> service;
    std::shared_ptr<ReplicaDriver> driver;
    std::unique_ptr<EngineMonitor> monitor;
    unsigned lastLimit = 0;
    std::atomic<bool> isAborted { false };
    int innerPort = 0;
    std::unique_ptr<grpc::Server> server;
    std::unique_ptr<Http::HttpServer> admin;
    asio::io_context context;
    asio::steady_timer timer;
    asio::signal_set signals;
};

AgentProcess::AgentProcess(AgentParts parts)
    : m_state(std::make_unique<State>(std::move(parts)))
{
}

AgentProcess::~AgentProcess() = default;

void AgentProcess::run()
{
    m_state->run();
}

void AgentProcess::requestStop()
{
    asio::post(m_state->context, [state = m_state.get()] { state->beginStop(); });
}

void AgentProcess::abort()
{
    m_state->abort();
}

uint16_t AgentProcess::innerPort() const
{
    return static_cast<uint16_t>(m_state->innerPort);
}

uint16_t AgentProcess::adminPort() const
{
    return m_state->admin->port();
}

const Admission::TargetState& AgentProcess::targetState() const
{
    return m_state->target->state;
}

} // namespace Lavenderloft::Process
