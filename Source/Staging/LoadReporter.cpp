#include "Staging/LoadReporter.h"

#include "Staging/Commands/RecordEngineStart.h"
#include "Staging/Commands/TakeGrantableSlots.h"
#include "Staging/Queries/DistributeGrants.h"
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
    m_peering.sendLoad(load, routers, Queries::distributeGrants(grantable, routers, settings.dataCentre, m_context.random));
}

} // namespace Lavenderloft::Staging
