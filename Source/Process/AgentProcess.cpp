#include "Process/AgentProcess.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/QueueRequest.h"
#include "Admission/Commands/ReserveKey.h"
#include "Admission/Commands/RunRequest.h"
#include "Admission/Events.h"
#include "Admission/Queries/CurrentLimit.h"
#include "Admission/Queries/FindRefusal.h"
#include "Http/EventLoop.h"
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
    // Time for slow readers to receive the rest of their responses after the target has completed them.
    constexpr std::chrono::seconds streamDrainTimeout { 30 };
    // Retention of idempotency keys while the document in force does not declare the service.
    constexpr std::chrono::hours undeclaredServiceResendWindow { 24 };
    constexpr unsigned clientThreads = 2;
    // Routers ping every 2 s; a server closes connections that ping more often than its minimum interval allows.
    constexpr int minimumPingIntervalMs = 1000;
    constexpr int keepAliveMs = 2000;
    // Together with the message being written, a stream buffers less than 64 KiB.
    constexpr int writeBufferBytes = 32 * 1024;

    Http::Endpoint parseEndpointSetting(const std::string& address, const char* name)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error(std::string("setting \"") + name + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    Http::HttpServerOptions adminOptions(const Settings::ProcessSettings& settings)
    {
        Http::HttpServerOptions options;
        options.listen = parseEndpointSetting(settings.admin, "admin");
        options.threads = 1;
        return options;
    }

    bool isModel(const Settings::ProcessSettings& settings)
    {
        return settings.target->kind == Settings::TargetKind::Model;
    }

} // namespace

struct AgentProcess::State {
    explicit State(AgentDependencies agentDependencies)
        : dependencies(std::move(agentDependencies))
        , agentState(dependencies.settings, dependencies.control, dependencies.clock)
        , client(std::make_unique<Http::HttpClient>(clientThreads))
        , target(std::make_shared<TargetContext>(dependencies.control.self().incarnation, dependencies.settings.target->kind, parseEndpointSetting(dependencies.settings.target->endpoint, "target.endpoint"), agentState, *client, dependencies.clock, dependencies.random, dependencies.metrics))
        , node(target)
        , service(Transport::makeTargetService(node, dependencies.clock))
        , timer(context)
        , signals(context, SIGTERM, SIGINT)
    {
        // The initial byte limit of 0 admits no request. The default applies until the engine reports its memory, and
        // to plain services, which report none.
        target->state.permits.occupancy.setByteLimit(Admission::Queries::requestByteLimit(0, 0));
        if (isModel(dependencies.settings))
            createEngineComponents();
        startServer();
        admin = std::make_unique<Http::HttpServer>(adminOptions(dependencies.settings), std::make_shared<AgentAdminHandler>(dependencies.metrics, agentState));
    }

    ~State()
    {
        server->Shutdown(std::chrono::system_clock::now());
        admin->stop();
        // Joins the client threads before the objects that they use are destroyed.
        client.reset();
    }

    void createEngineComponents()
    {
        driver = std::make_shared<ReplicaDriver>(ReplicaDriver::Dependencies { dependencies.control, dependencies.weights, *dependencies.engine, agentState, *target, dependencies.clock, dependencies.settings.vm });
        monitor = std::make_unique<EngineMonitor>(*dependencies.engine, agentState, *target, *driver, dependencies.control, dependencies.crashObserver);
        dependencies.control.onChange([weak = std::weak_ptr(driver)] {
            if (auto strong = weak.lock())
                strong->wake();
        });
    }

    void startServer()
    {
        grpc::ServerBuilder builder;
        // A second process for the same VM must fail to bind the port; with SO_REUSEPORT it would share it.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, minimumPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
        // Detects routers whose VM has failed; otherwise their requests would run indefinitely.
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, keepAliveMs);
        builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepAliveMs);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_WRITE_BUFFER_SIZE, writeBufferBytes);
        builder.AddListeningPort(dependencies.settings.inner, dependencies.credentials->server(), &innerPort);
        builder.RegisterService(service.get());
        for (auto& additional : dependencies.services)
            builder.RegisterService(additional);
        server = builder.BuildAndStart();
        if (!server || !innerPort)
            throw std::runtime_error("setting \"inner\": " + dependencies.settings.inner + " cannot be bound; check that no other process uses it");
    }

    void run()
    {
        Observability::logEvent(processStarted, { { "role", "agent" }, { "vm", dependencies.settings.vm }, { "innerPort", innerPort }, { "adminPort", admin->port() } });
        signals.async_wait([this](const boost::system::error_code& error, int) {
            if (!error)
                beginStop();
        });
        if (driver)
            driver->start();
        tick();
        Http::runEventLoop(context);
        server->Shutdown(std::chrono::system_clock::now() + (isAborted ? std::chrono::seconds(0) : streamDrainTimeout));
        if (driver)
            driver->stop();
        Observability::logEvent(processStopped, { { "vm", dependencies.settings.vm } });
    }

    void beginStop()
    {
        if (agentState.isLeaving())
            return;
        Observability::logEvent(processStopping, { { "vm", dependencies.settings.vm }, { "running", target->load().running } });
        agentState.setLeaving();
        dependencies.control.publishLeaving();
    }

    void abort()
    {
        isAborted = true;
        context.stop();
    }

    void tick()
    {
        if (agentState.pauseDetector().tick())
            dropStaleState();
        if (monitor)
            monitor->poll();
        else
            pollService();
        refreshAdmission();
        publish();
        if (driver)
            driver->wake();
        if (agentState.isLeaving() && !target->load().running) {
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
        Observability::logEvent(processPaused, { { "vm", dependencies.settings.vm } });
        Admission::Commands::invalidatePermits(target->state, dependencies.clock);
        if (driver)
            driver->dropOrders();
    }

    // A plain service reports no status; its limit is the one in the document.
    void pollService()
    {
        auto document = dependencies.control.document();
        auto* declared = document ? document->findService(dependencies.settings.target->service) : nullptr;
        if (declared) {
            Admission::Commands::configureLimit(target->state.limit, { declared->limit, declared->limit, {} });
            Admission::Commands::applyEngineCondition(target->state, { true, 1, {}, true, true }, dependencies.clock);
        }
        agentState.pauseDetector().resume();
    }

    void refreshAdmission()
    {
        auto document = dependencies.control.document();
        auto* declared = document ? document->findService(dependencies.settings.target->service) : nullptr;
        auto window = declared ? declared->resendWindow : std::chrono::milliseconds(undeclaredServiceResendWindow);
        if (declared)
            Admission::Commands::updateHomes(target->state.keys, *declared, dependencies.clock);
        Admission::Commands::expireRecords(target->state, window, dependencies.clock);
        if (Admission::Queries::isAccepting(agentState.admissionContext()))
            return target->grantWaiting();
        Admission::Commands::refuseAll(target->state.queue, Admission::makeRefusal(Admission::RefusalReason::NotReady, "the agent on VM " + dependencies.settings.vm + " does not accept requests", "use another target"));
    }

    void publish()
    {
        auto load = target->load();
        dependencies.metrics.set("lavenderloft_target_running", {}, load.running);
        dependencies.metrics.set("lavenderloft_target_limit", {}, load.limit);
        dependencies.metrics.set("lavenderloft_target_queued", {}, load.queued);
        dependencies.metrics.set("lavenderloft_target_held_bytes", {}, static_cast<double>(load.heldBytes));
        if (std::exchange(lastLimit, load.limit) != load.limit)
            Observability::logEvent(Admission::limitChanged, { { "vm", dependencies.settings.vm }, { "limit", load.limit } });
        if (driver)
            return driver->publish();
        Membership::Replica replica;
        replica.pool = dependencies.settings.target->service;
        replica.phase = Membership::ReplicaPhase::Ready;
        dependencies.control.publish(load, { replica });
    }

    AgentDependencies dependencies;
    AgentState agentState;
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

AgentProcess::AgentProcess(AgentDependencies dependencies)
    : m_state(std::make_unique<State>(std::move(dependencies)))
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
