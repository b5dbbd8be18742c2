#include "Staging/EngineMonitor.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Commands/RecordLoadReport.h"
#include "Staging/Events.h"
#include "Staging/Queries/FindDesiredWeights.h"
#include "Staging/Queries/ReadLoadState.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 100 };
    // The end of the engine is reported for this time, because datagrams may be lost.
    constexpr std::chrono::milliseconds endReportPeriod { 1000 };

    bool failedAs(const Base::Result<Http::HttpResponse, Http::HttpError>& result, Http::HttpErrorKind kind)
    {
        return !Base::succeeded(result) && Base::errorOf(result).kind == kind;
    }

} // namespace

EngineMonitor::EngineMonitor(const StagingContext& context, LoadState& load)
    : m_context(context)
    , m_loadState(load)
{
}

asio::awaitable<void> EngineMonitor::run(ReportHandler onReport, EndHandler onEnd)
{
    auto client = m_context.engineClient();
    bool wasReached = false;
    while (true) {
        auto problem = co_await poll(client);
        if (m_report.has_value() != wasReached) {
            wasReached = m_report.has_value();
            Observability::logEvent(wasReached ? Events::engineReached : Events::engineLost, { { "problem", problem }, { "whole_version", wholeVersion() } });
        }
        if (m_report)
            onReport(*m_report);
        else if (timeSinceEnd())
            onEnd();
        co_await Http::sleepFor(m_context.loop, pollInterval);
    }
}

// Returns the problem if the engine gave no valid report, and an empty string otherwise.
asio::awaitable<std::string> EngineMonitor::poll(Http::PersistentHttpClient& client)
{
    auto polledAt = m_context.clock.now();
    auto response = co_await client.call(m_context.protocol.reportRequest(), StagingContext::engineTimeout);
    // The engine may only have closed an idle connection; if it has ended, it accepts no new one.
    if (failedAs(response, Http::HttpErrorKind::Broken))
        response = co_await client.call(m_context.protocol.reportRequest(), StagingContext::engineTimeout);
    auto before = m_report;
    auto problem = takeReport(response);
    if (m_report)
        recordLoads(polledAt);
    detectEnd(before, response);
    logAcceptedLoads(before);
    co_return problem;
}

std::string EngineMonitor::takeReport(const PollResult& response)
{
    m_report.reset();
    if (!Base::succeeded(response))
        return Base::errorOf(response).describe();
    auto report = m_context.protocol.readReport(Base::valueOf(response));
    if (!Base::succeeded(report))
        return Base::errorOf(report).describe();
    m_report = Base::valueOf(report);
    return {};
}

void EngineMonitor::recordLoads(Base::TimePoint polledAt)
{
    bool wasInDoubt = m_loadState.isInDoubt;
    Commands::recordLoadReport(m_loadState, *m_report, polledAt);
    if (m_loadState.isInDoubt && !wasInDoubt)
        Observability::logEvent(Events::loadInDoubt, { { "version", m_report->layers ? m_report->layers->version : 0 }, { "accepted_loads", m_report->acceptedLoads.value_or(0) }, { "cause", "the engine has accepted load requests that this process did not send" } });
}

void EngineMonitor::detectEnd(const std::optional<EngineReport>& before, const PollResult& response)
{
    if (!before)
        return;
    bool hasRestarted = m_report && m_report->startedAt != before->startedAt;
    if (hasRestarted || failedAs(response, Http::HttpErrorKind::NotSent))
        m_endedAt = m_context.clock.now();
}

void EngineMonitor::logAcceptedLoads(const std::optional<EngineReport>& before) const
{
    if (!before || !m_report || m_report->startedAt != before->startedAt || m_report->acceptedLoads == before->acceptedLoads)
        return;
    Observability::logEvent(Events::loadAccepted, { { "accepted_loads", m_report->acceptedLoads.value_or(0) }, { "accepted_before", before->acceptedLoads.value_or(0) }, { "busy", m_report->busy }, { "loaded_version", m_report->layers ? m_report->layers->version : 0 } });
}

std::optional<std::chrono::milliseconds> EngineMonitor::timeSinceEnd() const
{
    if (!m_endedAt)
        return std::nullopt;
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.clock.now() - *m_endedAt);
    return elapsed < endReportPeriod ? std::optional(elapsed) : std::nullopt;
}

uint64_t EngineMonitor::wholeVersion() const
{
    auto snapshot = m_context.snapshot();
    auto* layout = Queries::findWeightLayout(*snapshot, m_context.settings);
    if (!m_report || !layout || !Queries::canRelyOnLayers(m_loadState))
        return 0;
    return Fleet::wholeVersionOf(m_report->layers, layout->layers);
}

std::optional<DesiredWeights> EngineMonitor::findDesiredWeights() const
{
    auto pending = Queries::findPendingWeights(m_loadState);
    return pending ? pending : m_context.findDesiredWeights(wholeVersion());
}

bool EngineMonitor::isStillDesired(const DesiredWeights& desired) const
{
    auto now = findDesiredWeights();
    return now && now->model == desired.model && now->declared.version == desired.declared.version;
}

bool EngineMonitor::hasLoaded(const DesiredWeights& desired) const
{
    return wholeVersion() >= desired.declared.version;
}

bool EngineMonitor::hasRequests() const
{
    return m_report && m_report->running + m_report->queued > 0;
}

} // namespace Lavenderloft::Staging
