#include "Staging/EngineMonitor.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Events.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 100 };

} // namespace

EngineMonitor::EngineMonitor(const StagingContext& context)
    : m_context(context)
{
}

asio::awaitable<void> EngineMonitor::run(ReportHandler onReport)
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
        co_await Http::sleepFor(m_context.loop, pollInterval);
    }
}

// Returns the problem if the engine gave no valid report, and an empty string otherwise.
asio::awaitable<std::string> EngineMonitor::poll(Http::PersistentHttpClient& client)
{
    auto response = co_await client.call(m_context.protocol.reportRequest(), StagingContext::engineTimeout);
    if (!Base::succeeded(response)) {
        m_report.reset();
        co_return Base::errorOf(response).describe();
    }
    auto report = m_context.protocol.readReport(Base::valueOf(response));
    if (!Base::succeeded(report)) {
        m_report.reset();
        co_return Base::errorOf(report).describe();
    }
    m_report = Base::valueOf(report);
    co_return std::string();
}

uint64_t EngineMonitor::wholeVersion() const
{
    auto desired = m_context.findDesiredWeights();
    if (!m_report || !desired)
        return 0;
    return Fleet::wholeVersionOf(m_report->layers, desired->layers);
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
