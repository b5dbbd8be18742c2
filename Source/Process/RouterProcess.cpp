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

    // Kernel send buffer of a caller's connection in bytes. The operating system would otherwise let a
    // slow reader hold megabytes of kernel memory.
    constexpr int callerSendBufferBytes = 64 * 1024;

    // Memory pools of the C library. One for each thread, its default, kept twice the budget after a
    // burst of slow readers; two cost no measurable rate.
    constexpr int memoryPools = 2;

    // Interval at which gauges are set and old crashes are forgotten.
    constexpr std::chrono::seconds housekeepingInterval { 1 };

    // Interval at which a graceful shutdown looks for running requests.
    constexpr std::chrono::milliseconds drainInterval { 20 };

    // How long callers with idle connections may still send a request, whose answer then tells them to
    // close the connection.
    constexpr std::chrono::seconds idleConnectionGrace { 2 };

    Http::Endpoint readEndpoint(const std::string& setting, const std::string& address)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error("setting \"" + setting + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    Http::HttpServerOptions callerOptions(const RouterProcess::Parts& parts)
    {
        Http::HttpServerOptions options;
        options.listen = readEndpoint("callers", parts.settings.callers);
        options.threads = parts.callerThreads;
        options.sendBufferBytes = callerSendBufferBytes;
        return options;
    }

    Http::HttpServerOptions adminOptions(const RouterProcess::Parts& parts)
    {
        Http::HttpServerOptions options;
        options.listen = readEndpoint("admin", parts.settings.admin);
        options.threads = 1;
        return options;
    }

} // namespace

struct RouterProcess::State : std::enable_shared_from_this<RouterProcess::State> {
    explicit State(Parts routerParts)
        : parts(std::move(routerParts))
        , byteBudget(parts.settings.streamBudgetBytes)
        , requestBudget(parts.settings.streamBudgetBytes)
        , context { parts.clock, *parts.random, parts.metrics, *parts.policy, *parts.channels, targets, retryBudget, quarantine, running, byteBudget, requestBudget }
    {
    }

    void start()
    {
        refreshTargets();
        std::shared_ptr<Routing::RoutingContext> sharedContext(shared_from_this(), &context);
        callers = std::make_unique<Http::HttpServer>(callerOptions(parts), std::make_shared<CallerHandler>(sharedContext, parts.control));
        admin = std::make_unique<Http::HttpServer>(adminOptions(parts), std::make_shared<RouterAdminHandler>(parts.metrics, parts.control, draining));
        callersPort = callers->port();
        adminPort = admin->port();
        parts.control.onChange([weak = weak_from_this()] {
            if (auto state = weak.lock())
                state->noteChange();
        });
        timer = std::thread([this] { runTimer(); });
    }

    void noteChange()
    {
        std::lock_guard guard(lock);
        changed = true;
        wake.notify_all();
    }

    // Applies changes of the control plane and looks at deadlines.
    void runTimer()
    {
        auto nextHousekeeping = parts.clock.now();
        std::unique_lock guard(lock);
        while (!stopped) {
            wake.wait_for(guard, Routing::Commands::expiryInterval, [this] { return stopped || changed; });
            bool apply = std::exchange(changed, false);
            guard.unlock();
            if (apply)
                refreshTargets();
            auto now = parts.clock.now();
            Routing::Commands::expireRequests(running, now);
            if (now >= nextHousekeeping) {
                keepHouse(now);
                nextHousekeeping = now + housekeepingInterval;
            }
            guard.lock();
        }
    }

    void refreshTargets()
    {
        auto document = parts.control.document();
        if (!document)
            return;
        Routing::Commands::updateTargets(targets, *document, parts.control.members(), parts.control.self());
        std::set<std::string> addresses;
        targets.vms().forEach([&](auto&, auto& target) { addresses.insert(target->address()); });
        parts.channels->retain(addresses);
    }

    void keepHouse(Base::TimePoint now)
    {
        Routing::Commands::expireCrashes(quarantine, now);
        Routing::Commands::resetRemoteLoads(targets);
        returnFreedMemory();
        parts.metrics.set("requests_running", {}, static_cast<double>(running.size()));
        parts.metrics.set("stream_bytes_held", {}, static_cast<double>(byteBudget.heldBytes()));
        parts.metrics.set("request_bytes_held", {}, static_cast<double>(requestBudget.heldBytes()));
        parts.metrics.set("stream_bytes_peak", {}, static_cast<double>(byteBudget.peakBytes()));
        parts.metrics.set("caller_connections", {}, static_cast<double>(callers->connectionCount()));
        targets.pools().forEach([&](auto& name, auto& subset) {
            parts.metrics.set("targets_ready", { { "destination", name } }, static_cast<double>(subset->size()));
        });
    }

    // The C library keeps what many streams have freed; after a burst of slow readers that would be
    // several times the budget.
    void returnFreedMemory()
    {
        if (auto cut = byteBudget.abortedStreams().load(); cut != std::exchange(cutAtLastTrim, cut))
            malloc_trim(0);
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

    Parts parts;
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
    bool changed = false;
    bool stopped = false;

    std::unique_ptr<Http::HttpServer> callers;
    std::unique_ptr<Http::HttpServer> admin;
    uint64_t cutAtLastTrim = 0;
    uint16_t callersPort = 0;
    uint16_t adminPort = 0;
    std::thread timer;
};

RouterProcess::RouterProcess(Parts parts)
{
    mallopt(M_ARENA_MAX, memoryPools);
    auto released = std::make_shared<std::promise<void>>();
    m_released = released->get_future();
    m_state = std::shared_ptr<State>(new State(std::move(parts)), [released](State* state) {
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
    logEvent(processStopped, { { "role", "router" }, { "vm", m_state->parts.settings.vm }, { "abandoned", abandoned } });
    // Callbacks of attempts that were just cancelled may still use the state.
    m_state.reset();
    m_released.wait();
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
    logEvent(processStopping, { { "role", "router" }, { "vm", m_state->parts.settings.vm }, { "running", runningRequests() } });
    m_state->draining = true;
    m_state->parts.control.publishLeaving();
    m_state->callers->drain();
    auto now = m_state->parts.clock.now();
    auto giveUpAt = now + limit;
    auto idleSince = now;
    std::unique_lock guard(m_state->lock);
    while (m_state->callers->connectionCount()) {
        now = m_state->parts.clock.now();
        if (now >= giveUpAt)
            return false;
        if (runningRequests())
            idleSince = now;
        else if (now - idleSince >= idleConnectionGrace)
            return true;
        m_state->wake.wait_for(guard, drainInterval);
    }
    return true;
}

std::vector<Routing::CrashReport> RouterProcess::crashReports() const
{
    return Routing::Queries::listCrashReports(m_state->quarantine, m_state->parts.clock.now());
}

void RouterProcess::merge(const std::vector<Routing::CrashReport>& crashReports)
{
    Routing::Commands::mergeCrashReports(m_state->quarantine, crashReports, m_state->parts.clock.now());
}

} // namespace Lavenderloft::Process
