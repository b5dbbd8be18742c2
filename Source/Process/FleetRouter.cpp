#include "Process/FleetRouter.h"

#include "Base/FileDescriptors.h"
#include "Base/SeededRandom.h"
#include "Base/StallMonitor.h"
#include "Base/SystemClock.h"
#include "Dispatch/BoundedWaitPolicy.h"
#include "Dispatch/Commands/AcquireTarget.h"
#include "Dispatch/Commands/RecordCrash.h"
#include "Dispatch/Commands/RecordOutcome.h"
#include "Dispatch/Commands/RecordPartEvidence.h"
#include "Dispatch/Commands/RecordStatement.h"
#include "Dispatch/PowerOfTwoChoicesPolicy.h"
#include "Dispatch/Queries/EngineDemand.h"
#include "Dispatch/Queries/FindBlockedPart.h"
#include "Dispatch/Queries/FindQuarantine.h"
#include "Dispatch/Queries/ListLimitReports.h"
#include "Dispatch/Queries/ListPartReports.h"
#include "Dispatch/Queries/ListReluctantTargets.h"
#include "Fleet/Commands/ApplyItems.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Http/IoContextPool.h"
#include "Http/NodeServer.h"
#include "Http/Sleep.h"
#include "Http/SpawnTask.h"
#include "Http/TaskSupervisor.h"
#include "Observability/Log.h"
#include "Peering/PeeringNode.h"
#include "Peering/Queries/ListPeers.h"
#include "Peering/StoreFollower.h"
#include "Process/Events.h"
#include "Process/FleetRouterGauges.h"
#include "Process/SettingsReload.h"
#include "Proxy/CallerServer.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <map>
#include <random>

namespace Lavenderloft::Process {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned workerCount = 2;
    // After this time a starting router has found all others and knows its share of common limits.
    constexpr std::chrono::milliseconds routerDiscoveryTime = 1500ms;
    // Interval at which targets with expired entries are removed and waiting requests are matched again, because a
    // target can become usable without an event of its own.
    constexpr std::chrono::milliseconds queueServiceInterval = 50ms;
    constexpr std::chrono::milliseconds housekeepingInterval = 250ms;
    // A report of the end of an engine that is older is a repeated one.
    constexpr std::chrono::milliseconds newEndAge = 50ms;
    // The load balancer of the platform takes this long to detect that a node is not ready.
    constexpr std::chrono::milliseconds minimumDrainTime = 3200ms;
    // Times after the stop signal from which idle connections are closed and new requests are rejected.
    constexpr std::chrono::milliseconds idleConnectionCloseDelay = 2300ms;
    constexpr std::chrono::milliseconds requestRejectionDelay = 2800ms;
    // The node stops at the latest this long before the end of the grace period.
    constexpr std::chrono::milliseconds drainMargin = 250ms;
    // Time before that in which the requests that are still open get a final response.
    constexpr std::chrono::milliseconds finalResponseTime = 200ms;
    // For the requests whose connections are closed at the end.
    constexpr std::chrono::milliseconds cutTime = 30ms;
    constexpr std::chrono::milliseconds drainCheckInterval = 100ms;
    constexpr std::chrono::milliseconds finalResponseInterval = 10ms;

    // Bodies, unusually large heads and large buffers of connections may use half of the memory. The rest is for the fleet
    // state, connections and streams.
    uint64_t callerMemoryLimit(const Fleet::NodeSettings& settings)
    {
        return settings.memoryBytes > 0 ? settings.memoryBytes / 2 : Http::MemoryBudget::defaultLimitBytes;
    }

    // Half of the descriptors is left for targets, nodes and the store. A connection may hold a head and a
    // buffer of the usual sizes, for which a quarter of the memory is reserved.
    size_t maximumCallerConnections(const Fleet::NodeSettings& settings)
    {
        constexpr size_t connectionBytes = 32 * 1024;
        constexpr size_t minimumConnections = 64;
        auto connections = Base::fileDescriptorLimit() / 2;
        if (settings.memoryBytes > 0)
            connections = std::min<size_t>(connections, settings.memoryBytes / 4 / connectionBytes);
        return std::max(connections, minimumConnections);
    }

    uint64_t randomSeed()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

    class FleetRouter {
    public:
        FleetRouter(const Fleet::NodeSettings& settings, const NodePlatform& platform)
            : m_settings(settings)
            , m_stalls(m_clock, queueServiceInterval)
            , m_pool(workerCount)
            , m_merger(m_fleet, platform.publications(), m_clock)
            , m_dispatch(m_fleet, settings, std::make_unique<Dispatch::PowerOfTwoChoicesPolicy>(), std::make_unique<Dispatch::BoundedWaitPolicy>(), std::make_unique<Base::SeededRandom>(randomSeed()))
            , m_proxy { platform.callers(), m_fleet, m_dispatch, m_clock, m_metrics, Http::MemoryBudget(callerMemoryLimit(settings)), maximumCallerConnections(settings) }
            , m_peering(m_pool.context(0), m_settings, m_peers, m_merger, m_clock, m_stalls, true)
            , m_signals(m_pool.context(0), SIGTERM, SIGINT)
            , m_reload(platform)
            , m_startedAt(m_clock.now())
            , m_follower(m_pool.context(0), settings.store, platform.store(), m_merger, m_clock, m_stalls)
            , m_gauges(m_metrics, m_fleet, m_peers, m_dispatch, m_peering, m_follower)
        {
            m_dispatch.setStartedAt(m_startedAt);
            m_dispatch.setRouterCount(std::nullopt);
            m_dispatch.setRouters({});
            for (size_t i = 0; i < m_pool.size(); ++i)
                m_workers.emplace_back(new Proxy::ProxyWorker { m_pool.context(i), {} });
        }

        void run()
        {
            auto& context = m_pool.context(0);
            m_callers = std::make_shared<Proxy::CallerServer>(m_proxy, m_workers, *m_settings.callerListen);
            m_ready = Http::NodeServer::start(context, *m_settings.readyListen, [this](Http::HttpRequest request) { return handleReadinessRequest(std::move(request)); });
            m_nodes = Http::NodeServer::start(context, { m_settings.address, m_settings.firstPeerPort }, [this](Http::HttpRequest request) { return handlePeerRequest(std::move(request)); });
            m_callers->start();
            m_peering.setLoadHandler([this](const Peering::EngineLoad& load) { recordLoad(load); });
            m_peering.setCrashHandler([this](const std::vector<Dispatch::CrashReport>& crashes) { Dispatch::Commands::mergeCrashReports(m_dispatch, crashes, m_clock.now()); });
            m_peering.setCrashProvider([this] { return Dispatch::Queries::listQuarantineCrashes(m_dispatch, m_clock.now()); });
            m_peering.setPartHandler([this](const Dispatch::PartReports& reports) { mergePartReports(reports); });
            m_peering.setLimitHandler([this](const std::vector<Dispatch::LimitReport>& reports) { Dispatch::Commands::mergeLimitReports(m_dispatch, reports, m_clock.now()); });
            m_peering.setLimitProvider([this] { return Dispatch::Queries::listLimitReports(m_dispatch, m_clock.now()); });
            m_peering.setStoreSyncTimeProvider([this] { return m_follower.syncedAt(); });
            m_peering.start();
            m_follower.setChangeHandler([this] { m_peering.announceRevision(); });
            Http::superviseTask(context, "follow-store", [this] { return m_follower.run([this] { return m_peering.shouldFollowStore(); }); });
            Http::superviseTask(context, "serve-queues", [this] { return serveQueues(); });
            Http::superviseTask(context, "housekeeping", [this] { return runHousekeeping(); });
            Http::spawnTask(context, "drain", [this] { return drainOnSignal(); });
            m_reload.watch(context, [this](const Fleet::NodeSettings& settings) { applySettings(settings); });
            Observability::logEvent(processStarted, { { "node", m_settings.node }, { "role", "router" }, { "data_centre", m_settings.dataCentre } });
            m_pool.run();
            Observability::logEvent(processStopped, { { "node", m_settings.node }, { "open_requests", m_proxy.openRequests.load() } });
        }

    private:
        asio::awaitable<Http::HttpResponse> handleReadinessRequest(Http::HttpRequest)
        {
            bool isReady = !m_proxy.draining && mayServe();
            co_return Http::HttpResponse { isReady ? 200u : 503u, {}, "" };
        }

        // What is in force may not be in the store, which may have returned from an older copy of itself. Other routers know it.
        bool mayServe() const
        {
            bool hasAskedOthers = m_peering.hasFetchedItems() || m_clock.now() - m_startedAt >= routerDiscoveryTime;
            return hasAskedOthers && Fleet::Queries::currentSnapshot(m_fleet)->configuration;
        }

        asio::awaitable<Http::HttpResponse> handlePeerRequest(Http::HttpRequest request)
        {
            if (request.target.starts_with(Peering::PeeringNode::itemsPath))
                co_return m_peering.handleItemsRequest(request);
            if (request.target == "/metrics")
                co_return Http::HttpResponse { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, serializeMetrics() };
            co_return Http::HttpResponse { 404, {}, "" };
        }

        // The addresses of this node do not change while it runs.
        void applySettings(const Fleet::NodeSettings& settings)
        {
            m_settings.seedAddresses = settings.seedAddresses;
            m_settings.bounds = settings.bounds;
            m_dispatch.setBounds(settings.bounds);
        }

        void recordLoad(const Peering::EngineLoad& load)
        {
            auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
            auto targets = snapshot->targetsByService.find(load.service);
            if (targets == snapshot->targetsByService.end())
                return;
            auto now = m_clock.now();
            for (auto& target : targets->second) {
                if (target->entry.address.toString() != load.engineAddress)
                    continue;
                Dispatch::TargetReport report { load.running, load.queued, load.wholeVersion, load.paused, load.granted, load.cold, std::nullopt, load.pace, load.reuse };
                if (load.abortsIn)
                    report.abortsAt = now + *load.abortsIn;
                Dispatch::Commands::recordReport(m_dispatch, load.service, target->entry.id, report, now);
                if (load.endedAgo)
                    Dispatch::Commands::recordTargetEnd(m_dispatch, load.service, target->entry.id, now - *load.endedAgo);
            }
            // Later reports of the same end are left to the housekeeping.
            if (load.endedAgo && *load.endedAgo < newEndAge)
                exchangeCrashes(now);
        }

        void mergePartReports(const Dispatch::PartReports& reports)
        {
            auto now = m_clock.now();
            Dispatch::Commands::mergePartReports(m_dispatch, reports, now);
            Dispatch::Commands::refuseBlockedWaiting(m_dispatch, now);
        }

        void exchangeCrashes(Base::TimePoint now)
        {
            auto crashes = Dispatch::Commands::confirmCrashes(m_dispatch, now);
            Dispatch::Commands::expirePartEvidence(m_dispatch, now);
            Dispatch::Commands::refuseBlockedWaiting(m_dispatch, now);
            auto parts = Dispatch::Queries::listPartReports(m_dispatch, now);
            if (!crashes.empty() || !parts.isEmpty())
                m_peering.announceCrashes(crashes, parts);
            logBlockedParts(now);
        }

        // Logs which parts were blocked or released since the last call.
        void logBlockedParts(Base::TimePoint now)
        {
            std::map<uint64_t, size_t> blocked;
            for (auto& part : Dispatch::Queries::listBlockedParts(m_dispatch, now))
                blocked[part.part] = part.crashes;
            for (auto& [part, crashes] : blocked) {
                if (!m_blockedParts.contains(part))
                    Observability::logEvent(promptPartBlocked, { { "part", Dispatch::formatPartId(part) }, { "crashes", crashes } });
            }
            for (auto& [part, crashes] : m_blockedParts) {
                if (!blocked.contains(part))
                    Observability::logEvent(promptPartReleased, { { "part", Dispatch::formatPartId(part) } });
            }
            m_blockedParts = std::move(blocked);
        }

        // Logs which targets take requests again since the last call. The proxy logs when they cease to.
        void logReluctantTargets(Base::TimePoint now)
        {
            auto reluctant = Dispatch::Queries::listReluctantTargets(m_dispatch, now);
            for (auto& [target, reluctance] : m_reluctantTargets) {
                if (reluctance == Dispatch::Queries::Reluctance::HeldBack && !reluctant.contains(target))
                    Observability::logEvent(targetHoldBackEnded, { { "target", target } });
            }
            m_reluctantTargets = std::move(reluctant);
        }

        // As often as queues are served, because waiting requests are reported.
        void reportDemand(Base::TimePoint now)
        {
            auto demand = Dispatch::Queries::engineDemandByUrgency(m_dispatch, now);
            m_peering.setUrgencyDemand(demand, Dispatch::Queries::isUrgentWaiting(m_dispatch, demand));
        }

        asio::awaitable<void> serveQueues()
        {
            while (true) {
                co_await Http::sleepFor(m_pool.context(0), queueServiceInterval);
                m_stalls.tick();
                Fleet::Commands::expireDeletions(m_fleet, m_clock.now());
                Dispatch::Commands::serveWaiting(m_dispatch, m_clock.now());
                reportDemand(m_clock.now());
            }
        }

        // Tells the dispatch which routers share the fleet-wide limits.
        void shareLimits(Base::TimePoint now)
        {
            m_dispatch.setRouterCount(static_cast<unsigned>(Peering::Queries::countRetainedRouters(m_peers)) + 1);
            std::vector<Dispatch::RouterPlace> routers { { m_settings.address, m_settings.dataCentre, m_settings.region } };
            for (auto& router : Peering::Queries::liveRouters(m_peers, now))
                routers.push_back({ router.address, router.dataCentre, m_settings.regionOf(router.dataCentre) });
            m_dispatch.setRouters(std::move(routers));
        }

        asio::awaitable<void> runHousekeeping()
        {
            while (true) {
                co_await Http::sleepFor(m_pool.context(0), housekeepingInterval);
                auto now = m_clock.now();
                if (auto lines = Observability::takeSuppressedLines()) {
                    m_metrics.count("log_lines_left_out_total", {}, static_cast<double>(lines));
                    Observability::logEvent(logLinesLeftOut, { { "lines", lines } });
                }
                exchangeCrashes(now);
                Dispatch::Commands::removeUnpublishedTargets(m_dispatch, now);
                logReluctantTargets(now);
                m_peering.setDemand(Dispatch::Queries::engineDemand(m_dispatch, now));
                if (now - m_startedAt >= routerDiscoveryTime)
                    shareLimits(now);
                for (auto& worker : m_workers)
                    asio::post(worker->context, [&connections = worker->connections, now] { connections.closeExpired(now); });
            }
        }

        std::string serializeMetrics()
        {
            m_gauges.update({ m_proxy.openRequests, m_reluctantTargets.size(), m_ready->closedConnections() + m_nodes->closedConnections() }, m_clock.now());
            return m_metrics.serialize();
        }

        asio::awaitable<void> drainOnSignal()
        {
            co_await m_signals.async_wait(asio::use_awaitable);
            // Also when an exception ends this coroutine: the process has been told to stop.
            std::shared_ptr<void> endOfDrain(nullptr, [this, &context = m_pool.context(0)](void*) {
                if (!context.stopped())
                    m_pool.stop();
            });
            m_proxy.draining = true;
            m_peering.announceLeaving();
            Observability::logEvent(processStopping, { { "open_requests", m_proxy.openRequests.load() } });
            auto start = m_clock.now();
            auto deadline = start + m_settings.bounds.grace - drainMargin;
            while (m_clock.now() < deadline - finalResponseTime) {
                co_await Http::sleepFor(m_pool.context(0), drainCheckInterval);
                auto elapsed = m_clock.now() - start;
                // By then the load balancer has detected the drain and sends new requests to other nodes.
                if (elapsed >= idleConnectionCloseDelay)
                    m_callers->closeIdleConnections();
                if (elapsed >= requestRejectionDelay)
                    m_proxy.closing = true;
                if (m_proxy.openRequests == 0 && elapsed >= minimumDrainTime)
                    break;
            }
            co_await endOpenRequests(deadline);
            m_callers->stop();
        }

        // Ends the requests that are still open, and closes the connections of those whose callers do not read.
        asio::awaitable<void> endOpenRequests(Base::TimePoint deadline)
        {
            if (m_proxy.openRequests == 0)
                co_return;
            Observability::logEvent(drainLimitReached, { { "open_requests", m_proxy.openRequests.load() } });
            m_callers->endOpenRequests();
            while (m_proxy.openRequests > 0 && m_clock.now() < deadline)
                co_await Http::sleepFor(m_pool.context(0), finalResponseInterval);
            if (m_proxy.openRequests == 0)
                co_return;
            m_callers->cutOpenRequests();
            co_await Http::sleepFor(m_pool.context(0), cutTime);
        }

        Fleet::NodeSettings m_settings;
        Base::SystemClock m_clock;
        // Of the event loop that exchanges messages and follows the store.
        Base::StallMonitor m_stalls;
        Observability::Metrics m_metrics;
        Http::IoContextPool m_pool;
        Fleet::FleetState m_fleet;
        Peering::ItemMerger m_merger;
        Peering::PeerTable m_peers;
        Dispatch::DispatchState m_dispatch;
        Proxy::ProxyContext m_proxy;
        Peering::PeeringNode m_peering;
        asio::signal_set m_signals;
        SettingsReload m_reload;
        Base::TimePoint m_startedAt;
        // Logged as blocked, with the number of crashes.
        std::map<uint64_t, size_t> m_blockedParts;
        // As of the last look.
        std::map<std::string, Dispatch::Queries::Reluctance> m_reluctantTargets;
        Peering::StoreFollower m_follower;
        FleetRouterGauges m_gauges;
        std::vector<std::unique_ptr<Proxy::ProxyWorker>> m_workers;
        std::shared_ptr<Proxy::CallerServer> m_callers;
        std::shared_ptr<Http::NodeServer> m_ready;
        std::shared_ptr<Http::NodeServer> m_nodes;
    };

} // namespace

void runFleetRouter(const Fleet::NodeSettings& settings, const NodePlatform& platform)
{
    FleetRouter router(settings, platform);
    router.run();
}

} // namespace Lavenderloft::Process
