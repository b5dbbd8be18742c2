#include "Process/FleetAgent.h"

#include "Base/SeededRandom.h"
#include "Base/StallMonitor.h"
#include "Base/SystemClock.h"
#include "Fleet/Commands/ApplyItems.h"
#include "Http/IoContextPool.h"
#include "Http/NodeServer.h"
#include "Http/Sleep.h"
#include "Http/TaskSupervisor.h"
#include "Observability/Log.h"
#include "Peering/PeeringNode.h"
#include "Peering/StoreFollower.h"
#include "Process/Events.h"
#include "Process/SettingsReload.h"
#include "Staging/ManifestCodec.h"
#include "Staging/StagingNode.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>

namespace Lavenderloft::Process {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds housekeepingInterval = 250ms;
    // The store is followed directly only if no router has been found within this time after the start.
    constexpr std::chrono::milliseconds routerDiscoveryTimeout = 2500ms;

    class FleetAgent {
    public:
        FleetAgent(const Fleet::NodeSettings& settings, const NodePlatform& platform)
            : m_settings(settings)
            , m_random(Base::SeededRandom::fromDevice())
            , m_pool(1)
            , m_stalls(m_clock, housekeepingInterval)
            , m_merger(m_fleet, platform.publications(), m_clock)
            , m_peering(m_pool.context(0), m_settings, m_peers, m_merger, m_clock, m_stalls, false)
            , m_staging(m_pool.context(0), m_settings, m_fleet, platform.engines(), m_peering, m_clock, m_random)
            , m_signals(m_pool.context(0), SIGTERM, SIGINT)
            , m_reload(platform)
            , m_startedAt(m_clock.now())
            , m_follower(m_pool.context(0), settings.store, platform.store(), m_merger, m_clock, m_stalls)
        {
        }

        void run()
        {
            auto& context = m_pool.context(0);
            m_nodes = Http::NodeServer::start(context, { m_settings.address, m_settings.firstPeerPort }, [this](Http::HttpRequest request) { return handlePeerRequest(std::move(request)); });
            m_peering.start();
            Http::superviseTask(context, "follow-store", [this] { return m_follower.run([this] { return needsStore(); }); });
            m_staging.start();
            Http::superviseTask(context, "housekeeping", [this] { return runHousekeeping(); });
            m_reload.watch(context, [this](const Fleet::NodeSettings& settings) {
                m_settings.seedAddresses = settings.seedAddresses;
                m_settings.bounds = settings.bounds;
            });
            m_signals.async_wait([this](const boost::system::error_code&, int) { m_pool.stop(); });
            Observability::logEvent(processStarted, { { "node", m_settings.node }, { "role", "agent" }, { "data_centre", m_settings.dataCentre } });
            m_pool.run();
            Observability::logEvent(processStopped, { { "node", m_settings.node } });
        }

    private:
        // Routers forward published items, which saves calls to the store.
        bool needsStore() const
        {
            return !m_peering.hasLiveRouters() && m_clock.now() - m_startedAt > routerDiscoveryTimeout;
        }

        asio::awaitable<Http::HttpResponse> handlePeerRequest(Http::HttpRequest request)
        {
            if (request.target.starts_with(Staging::piecePathPrefix))
                return m_staging.handlePieceRequest(std::move(request));
            return handleControlRequest(std::move(request));
        }

        asio::awaitable<Http::HttpResponse> handleControlRequest(Http::HttpRequest request)
        {
            if (request.target.starts_with(Staging::manifestPathPrefix))
                co_return m_staging.handleManifestRequest(request);
            if (request.target.starts_with(Peering::PeeringNode::itemsPath))
                co_return m_peering.handleItemsRequest(request);
            co_return Http::HttpResponse { 404, {}, "" };
        }

        asio::awaitable<void> runHousekeeping()
        {
            while (true) {
                co_await Http::sleepFor(m_pool.context(0), housekeepingInterval);
                m_stalls.tick();
                Fleet::Commands::expireDeletions(m_fleet, m_clock.now());
            }
        }

        Fleet::NodeSettings m_settings;
        Base::SystemClock m_clock;
        // Of the event loop that exchanges messages and follows the store.
        Base::StallMonitor m_stalls;
        Base::SeededRandom m_random;
        Http::IoContextPool m_pool;
        Fleet::FleetState m_fleet;
        Peering::ItemMerger m_merger;
        Peering::PeerTable m_peers;
        Peering::PeeringNode m_peering;
        Staging::StagingNode m_staging;
        asio::signal_set m_signals;
        SettingsReload m_reload;
        Base::TimePoint m_startedAt;
        Peering::StoreFollower m_follower;
        std::shared_ptr<Http::NodeServer> m_nodes;
    };

} // namespace

void runFleetAgent(const Fleet::NodeSettings& settings, const NodePlatform& platform)
{
    FleetAgent agent(settings, platform);
    agent.run();
}

} // namespace Lavenderloft::Process
