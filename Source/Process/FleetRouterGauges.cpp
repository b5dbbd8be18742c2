#include "Process/FleetRouterGauges.h"

#include "Dispatch/Queries/EngineDemand.h"
#include "Dispatch/Queries/FindRetryLimits.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Http/TaskFailures.h"
#include "Peering/Queries/ListPeers.h"

#include <chrono>

namespace Lavenderloft::Process {

FleetRouterGauges::FleetRouterGauges(Observability::Metrics& metrics, const Fleet::FleetState& fleet, const Peering::PeerTable& peers, Dispatch::DispatchState& dispatch, const Peering::PeeringNode& peering, const Peering::StoreFollower& follower)
    : m_metrics(metrics)
    , m_fleet(fleet)
    , m_peers(peers)
    , m_dispatch(dispatch)
    , m_peering(peering)
    , m_follower(follower)
{
}

void FleetRouterGauges::update(const Counts& counts, Base::TimePoint now)
{
    m_metrics.set("node_connections_closed", {}, static_cast<double>(counts.closedNodeConnections));
    m_metrics.set("task_failures", {}, static_cast<double>(Http::taskFailures()));
    m_metrics.set("prompt_parts_blocked", {}, static_cast<double>(m_dispatch.parts().blockedCount()));
    m_metrics.set("targets_held_back", {}, static_cast<double>(counts.heldBackTargets));
    m_metrics.set("open_requests", {}, static_cast<double>(counts.openRequests));
    m_metrics.set("peer_demands_clamped", {}, static_cast<double>(m_peering.clampedDemands()));
    updateFleet();
    updateStore(now);
    updateServices(now);
    updateDemand(now);
}

void FleetRouterGauges::updateFleet()
{
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    m_metrics.set("configuration_version", {}, snapshot->configuration ? static_cast<double>(snapshot->configuration->version) : 0);
    m_metrics.set("published_revision", {}, static_cast<double>(snapshot->position.revision));
    m_metrics.set("store_era", {}, static_cast<double>(snapshot->position.era));
    m_metrics.set("routers_known", {}, static_cast<double>(Peering::Queries::countRetainedRouters(m_peers)) + 1);
    for (auto& [service, targets] : snapshot->targetsByService)
        m_metrics.set("targets_published", { { "service", service } }, static_cast<double>(targets.size()));
}

void FleetRouterGauges::updateStore(Base::TimePoint now)
{
    auto syncedAt = m_follower.syncedAt();
    m_metrics.set("store_followed", {}, syncedAt ? 1 : 0);
    if (syncedAt)
        m_metrics.set("store_age_seconds", {}, std::chrono::duration<double>(now - *syncedAt).count());
}

void FleetRouterGauges::updateServices(Base::TimePoint now)
{
    auto retryLimits = Dispatch::Queries::findRetryLimits(m_dispatch, now);
    m_dispatch.forEachService([&](const std::string& name, Dispatch::ServiceState& service) {
        m_metrics.set("requests_waiting", { { "service", name } }, static_cast<double>(service.waiting.size()));
        updateRetries(name, service.retryWindow.use(now), retryLimits);
    });
}

// What the service's retry budget allows in a window, and what of it is used.
void FleetRouterGauges::updateRetries(const std::string& service, const Dispatch::RetryUse& use, const Dispatch::RetryLimits& limits)
{
    m_metrics.set("retry_window_requests", { { "service", service } }, use.requests);
    m_metrics.set("retry_window_retries", { { "service", service } }, use.retries);
    m_metrics.set("retry_window_reserved", { { "service", service } }, use.reservedRetries);
    m_metrics.set("retry_window_limit", { { "service", service } }, limits.ratio * use.requests + limits.slack);
    m_metrics.set("retry_window_slack", { { "service", service } }, limits.slack);
}

void FleetRouterGauges::updateDemand(Base::TimePoint now)
{
    auto demand = Dispatch::Queries::engineDemandByUrgency(m_dispatch, now);
    for (size_t band = 0; band < demand.bands.size(); ++band) {
        auto urgency = std::to_string(band);
        m_metrics.set("engine_requests_waiting", { { "urgency", urgency } }, demand.bands[band].waiting);
        m_metrics.set("engine_requests_per_second", { { "urgency", urgency } }, demand.bands[band].requestsPerSecond);
        m_metrics.set("engine_starts_per_second", { { "urgency", urgency } }, demand.bands[band].startsPerSecond);
    }
    m_metrics.set("engines_with_reuse_limit", {}, static_cast<double>(Dispatch::Queries::countReuseLimits(m_dispatch, now)));
}

} // namespace Lavenderloft::Process
