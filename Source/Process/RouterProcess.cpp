#include "Process/RouterProcess.h"

#include "Observability/Log.h"
#include "Process/CallerHandler.h"
#include "Process/Events.h"
#include "Process/RouterAdminHandler.h"
#include "Routing/Commands/ExpireRequests.h"
#include "Routing/Commands/RecordCrash.h"
#include "Routing/Commands/ResetRemoteLoads.h"
#include "Routing/Commands/UpdateTargets.h"
#include "Routing/Queries/FindQuarantine.h"

#include <condition_variable>
#include <malloc.h>
#include <set>
#include <thread>

namespace Lavenderloft::Process {

namespace {

    // Limits the kernel send buffer of a caller's connection; by default, a slow reader can occupy megabytes of
    // kernel memory.
    constexpr int callerSendBufferBytes = 64 * 1024;

    // With one malloc arena per thread, the default, the process kept twice the stream budget after a burst of
    // slow readers. Two arenas do not measurably reduce the request rate.
    constexpr int mallocArenas = 2;

    // Interval at which gauges are updated and old crash reports expire.
    constexpr std::chrono::seconds housekeepingInterval { 1 };

    // Interval at which a graceful shutdown checks for running requests.
    constexpr std::chrono::milliseconds drainCheckInterval { 20 };

    // Time to send the errors of the requests that are open when the limit of a graceful shutdown is reached.
    constexpr std::chrono::milliseconds errorFlushTime { 500 };

    // During this time callers with idle connections may still send a request; its response tells them to close
    // the connection.
    constexpr std::chrono::seconds idleConnectionGracePeriod { 2 };

    Http::Endpoint parseEndpointSetting(const std::string& setting, const std::string& address)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error("setting \"" + setting + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    // For metrics and health checks.
    constexpr size_t maximumAdminConnections = 64;

    Http::HttpServerOptions callerOptions(const RouterProcess::Dependencies& dependencies)
    {
        Http::HttpServerOptions options;
        options.listen = parseEndpointSetting("callers", dependencies.settings.callers);
        options.threads = dependencies.callerThreads;
        options.sendBufferBytes = callerSendBufferBytes;
        options.maximumReceivedBytes = dependencies.settings.streamBudgetBytes;
        return options;
    }

    Http::HttpServerOptions adminOptions(const RouterProcess::Dependencies& dependencies)
    {
        Http::HttpServerOptions options;
        options.listen = parseEndpointSetting("admin", dependencies.settings.admin);
        options.threads = 1;
        options.maximumConnections = maximumAdminConnections;
        return options;
    }

} // namespace

struct RouterProcess::State : std::enable_shared_from_this<RouterProcess::State> {
    explicit State(Dependencies routerDependencies)
        : dependencies(std::move(routerDependencies))
        , byteBudget(dependencies.settings.streamBudgetBytes)
        , requestBudget(dependencies.settings.streamBudgetBytes)
        , context { dependencies.clock, *dependencies.random, dependencies.metrics, *dependencies.policy, *dependencies.channels, targets, retryBudget, quarantine, running, byteBudget, requestBudget }
    {
    }

    void start()
    {
        refreshTargets();
        std::shared_ptr<Routing::RoutingContext> sharedContext(shared_from_this(), &context);
        callers = std::make_unique<Http::HttpServer>(callerOptions(dependencies), std::make_shared<CallerHandler>(sharedContext, dependencies.control));
        admin = std::make_unique<Http::HttpServer>(adminOptions(dependencies), std::make_shared<RouterAdminHandler>(dependencies.metrics, dependencies.control, draining));
        callersPort = callers->port();
        adminPort = admin->port();
        dependencies.control.onChange([weak = weak_from_this()] {
            if (auto state = weak.lock())
                state->requestTargetRefresh();
        });
        timer = std::thread([this] { runTimer(); });
    }

    void requestTargetRefresh()
    {
        std::lock_guard guard(lock);
        refreshRequested = true;
        wake.notify_all();
    }

    // Applies changes of the control plane and expires requests past their deadline.
    void runTimer()
    {
        auto nextHousekeeping = dependencies.clock.now();
        std::unique_lock guard(lock);
        while (!stopped) {
            wake.wait_for(guard, Routing::Commands::expiryInterval, [this] { return stopped || refreshRequested; });
            bool shouldRefresh = std::exchange(refreshRequested, false);
            guard.unlock();
            if (shouldRefresh)
                refreshTargets();
            auto now = dependencies.clock.now();
            Routing::Commands::expireRequests(running, now);
            if (now >= nextHousekeeping) {
                runHousekeeping(now);
                nextHousekeeping = now + housekeepingInterval;
            }
            guard.lock();
        }
    }

    void refreshTargets()
    {
        auto document = dependencies.control.document();
        if (!document)
            return;
        Routing::Commands::updateTargets(targets, *document, dependencies.control.members(), dependencies.control.self());
        std::set<std::string> addresses;
        targets.vms().forEach([&](auto&, auto& target) { addresses.insert(target->address()); });
        dependencies.channels->retain(addresses);
    }

    void runHousekeeping(Base::TimePoint now)
    {
        Routing::Commands::expireCrashes(quarantine, now);
        Routing::Commands::resetRemoteLoads(targets);
        returnFreedMemory();
        dependencies.metrics.set("requests_running", {}, static_cast<double>(running.size()));
        dependencies.metrics.set("stream_bytes_held", {}, static_cast<double>(byteBudget.heldBytes()));
        dependencies.metrics.set("request_bytes_held", {}, static_cast<double>(requestBudget.heldBytes()));
        dependencies.metrics.set("stream_bytes_peak", {}, static_cast<double>(byteBudget.peakBytes()));
        dependencies.metrics.set("caller_connections", {}, static_cast<double>(callers->connectionCount()));
        dependencies.metrics.set("connections_closed", {}, static_cast<double>(callers->closedConnections() + admin->closedConnections()));
        targets.pools().forEach([&](auto& name, auto& subset) {
            dependencies.metrics.set("targets_ready", { { "destination", name } }, static_cast<double>(subset->size()));
        });
    }

    // The C library retains freed memory; after a burst of slow readers that would be several times the stream
    // budget.
    void returnFreedMemory()
    {
        if (auto aborted = byteBudget.abortedStreams().load(); aborted != std::exchange(abortedAtLastTrim, aborted))
            malloc_trim(0);
    }

    // Closed connections would not tell the callers of open requests whether these have run.
    void abandonRequests()
    {
        auto abandoned = Routing::Commands::abandonRequests(running);
        logEvent(drainLimitReached, { { "vm", dependencies.settings.vm }, { "abandoned", abandoned } });
        auto deadline = dependencies.clock.now() + errorFlushTime;
        while (callers->connectionCount() && dependencies.clock.now() < deadline)
            std::this_thread::sleep_for(drainCheckInterval);
    }

    void stopTimer()
    {
        {
            std::lock_guard guard(lock);
            stopped = true;
            wake.notify_all();
        }
        timer.join();
    }

    Dependencies dependencies;
    Routing::TargetTable targets;
    Routing::RetryBudget retryBudget;
    Routing::QuarantineTable quarantine;
    Routing::RunningRequests running;
    Streaming::ByteBudget byteBudget;
    Streaming::ByteBudget requestBudget;
    Routing::RoutingContext context;
    std::atomic<bool> draining { false };

    std::mutex lock;
    std::condition_variable wake;
    bool refreshRequested = false;
    bool stopped = false;

    std::unique_ptr<Http::HttpServer> callers;
    std::unique_ptr<Http::HttpServer> admin;
    uint64_t abortedAtLastTrim = 0;
    uint16_t callersPort = 0;
    uint16_t adminPort = 0;
    std::thread timer;
};

RouterProcess::RouterProcess(Dependencies dependencies)
{
    mallopt(M_ARENA_MAX, mallocArenas);
    auto released = std::make_shared<std::promise<void>>();
    m_stateReleased = released->get_future();
    m_state = std::shared_ptr<State>(new State(std::move(dependencies)), [released](State* state) {
        delete state;
        released->set_value();
    });
    m_state->start();
}

RouterProcess::~RouterProcess()
{
    m_state->stopTimer();
    m_state->callers->stop();
    m_state->admin->stop();
    auto abandoned = Routing::Commands::abandonRequests(m_state->running);
    logEvent(processStopped, { { "role", "router" }, { "vm", m_state->dependencies.settings.vm }, { "abandoned", abandoned } });
    // Callbacks of the cancelled attempts may still use the state.
    m_state.reset();
    m_stateReleased.wait();
}

uint16_t RouterProcess::callersPort() const
{
    return m_state->callersPort;
}

uint16_t RouterProcess::adminPort() const
{
    return m_state->adminPort;
}

size_t RouterProcess::runningRequests() const
{
    return m_state->running.size();
}

uint64_t RouterProcess::heldStreamBytes() const
{
    return m_state->byteBudget.heldBytes();
}

uint64_t RouterProcess::peakStreamBytes() const
{
    return m_state->byteBudget.peakBytes();
}

uint64_t RouterProcess::abortedStreams() const
{
    return m_state->byteBudget.abortedStreams();
}

bool RouterProcess::drain(Base::Duration limit)
{
    logEvent(processStopping, { { "role", "router" }, { "vm", m_state->dependencies.settings.vm }, { "running", runningRequests() } });
    m_state->draining = true;
    m_state->dependencies.control.publishLeaving();
    m_state->callers->drain();
    auto now = m_state->dependencies.clock.now();
    auto deadline = now + limit;
    auto idleSince = now;
    std::unique_lock guard(m_state->lock);
    while (m_state->callers->connectionCount()) {
        now = m_state->dependencies.clock.now();
        if (now >= deadline) {
            guard.unlock();
            m_state->abandonRequests();
            return false;
        }
        if (runningRequests())
            idleSince = now;
        else if (now - idleSince >= idleConnectionGracePeriod)
            return true;
        m_state->wake.wait_for(guard, drainCheckInterval);
    }
    return true;
}

std::vector<Routing::CrashReport> RouterProcess::crashReports() const
{
    return Routing::Queries::listCrashReports(m_state->quarantine, m_state->dependencies.clock.now());
}

void RouterProcess::merge(const std::vector<Routing::CrashReport>& crashReports)
{
    Routing::Commands::mergeCrashReports(m_state->quarantine, crashReports, m_state->dependencies.clock.now());
}

} // namespace Lavenderloft::Process
