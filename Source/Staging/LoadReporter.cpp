#include "Staging/LoadReporter.h"

#include "Observability/Log.h"
#include "Staging/Commands/RecordEngineStart.h"
#include "Staging/Commands/TakeGrantableSlots.h"
#include "Staging/Events.h"
#include "Staging/Queries/FindOwnTarget.h"

namespace Lavenderloft::Staging {

LoadReporter::LoadReporter(const StagingContext& context, const EngineMonitor& monitor, const LoadIntent& intent, const LoadState& loadState, Peering::PeeringNode& peering)
    : m_context(context)
    , m_monitor(monitor)
    , m_intent(intent)
    , m_loadState(loadState)
    , m_peering(peering)
{
}

void LoadReporter::engineReported(const EngineReport& report)
{
    Commands::recordEngineStart(m_engineStart, report.startedAt, *m_context.snapshot(), m_context.settings, m_context.clock.now());
    send(report);
}

void LoadReporter::engineEnded()
{
    Peering::EngineLoad load;
    load.service = m_context.settings.localService;
    load.engineAddress = m_context.settings.localEngine->toString();
    load.paused = true;
    load.endedAgo = m_monitor.timeSinceEnd();
    m_peering.sendLoad(load, m_peering.nextLoadReceivers(), {});
}

void LoadReporter::reportNow()
{
    if (m_monitor.report())
        send(*m_monitor.report());
}

void LoadReporter::send(const EngineReport& report)
{
    auto& settings = m_context.settings;
    auto snapshot = m_context.snapshot();
    auto now = m_context.clock.now();
    auto coldRate = Queries::findColdRate(*snapshot, settings, m_engineStart, now);
    Peering::EngineLoad load;
    load.service = settings.localService;
    load.engineAddress = settings.localEngine->toString();
    load.endedAgo = m_monitor.timeSinceEnd();
    load.running = report.running;
    load.queued = report.queued;
    load.pace = report.pace > 1 ? report.pace : 0;
    load.wholeVersion = m_monitor.wholeVersion();
    // An engine that may still accept a load request would abort or reject what it is sent meanwhile.
    load.paused = m_intent.isPaused || report.busy || m_loadState.pending;
    load.cold = coldRate.has_value();
    load.abortsIn = Queries::timeUntilAbort(m_intent.plan, now);
    auto free = load.paused ? 0 : Queries::countFreeSlots(*snapshot, settings, report);
    auto grantable = Commands::takeGrantableSlots(m_slots, free, coldRate, now);
    auto routers = m_peering.nextLoadReceivers();
    Queries::GrantBasis basis { settings.dataCentre, m_slots.meanGranted, Queries::findEnginePart(*snapshot, settings), now };
    m_peering.sendLoad(load, routers, shareSlots(grantable, routers, basis));
}

// Limits depend on all live routers, also on those that do not receive this report.
std::map<std::string, Peering::RouterShare> LoadReporter::shareSlots(unsigned grantable, const std::vector<Peering::PeerRouter>& receivers, const Queries::GrantBasis& basis)
{
    std::map<std::string, Peering::RouterShare> shares;
    for (auto& [address, granted] : Queries::distributeGrants(grantable, receivers, basis, m_context.random))
        shares[address].granted = granted;
    auto routers = m_peering.knownRouters();
    Commands::recordUrgentNeed(m_slots, Queries::isUrgentUnmet(routers, basis.now), basis.now);
    std::map<std::string, Scheduling::ReuseLimit> limits;
    if (m_slots.isUrgentUnmet(basis.now))
        limits = Queries::findReuseLimits(routers, basis);
    // Receivers are those of the own region and a part of the others.
    constexpr size_t reportsWithinLimit = 3;
    Commands::recordReuseLimits(m_slots, !limits.empty(), routers.size() <= receivers.size() * reportsWithinLimit);
    for (auto& [address, limit] : limits)
        shares[address].reuse = limit;
    recordLimited(!limits.empty());
    return shares;
}

void LoadReporter::recordLimited(bool isLimited)
{
    if (isLimited != m_isReuseLimited)
        Observability::logEvent(isLimited ? Events::slotsMove : Events::slotsStay, { { "service", m_context.settings.localService }, { "granted", m_slots.meanGranted } });
    m_isReuseLimited = isLimited;
}

} // namespace Lavenderloft::Staging
