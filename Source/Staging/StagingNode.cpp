#include "Staging/StagingNode.h"

#include "Http/TaskSupervisor.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

StagingNode::StagingNode(asio::io_context& loop, const Fleet::NodeSettings& settings, const Fleet::FleetState& fleet, const EngineProtocol& protocol, Peering::PeeringNode& peering, const Base::Clock& clock, Base::RandomSource& random)
    : m_context { loop, settings, fleet, protocol, clock, random }
    , m_monitor(m_context, m_loadState)
    , m_reporter(m_context, m_monitor, m_intent, m_loadState, peering)
    , m_manifests(m_context, m_monitor)
    , m_pieces(m_context, m_monitor)
    , m_fetcher(m_context, m_monitor, m_manifests, m_pieces)
    , m_server(m_context, m_monitor, m_manifests, m_pieces, m_fetcher)
    , m_loader(m_context, m_monitor, m_intent, m_loadState, m_reporter, m_pieces, m_fetcher)
{
}

void StagingNode::start()
{
    auto onReport = [this](const EngineReport& report) { m_reporter.engineReported(report); };
    auto onEnd = [this] { m_reporter.engineEnded(); };
    Http::superviseTask(m_context.loop, "monitor-engine", [=, this] { return m_monitor.run(onReport, onEnd); });
    Http::superviseTask(m_context.loop, "fetch-manifests", [this] { return m_manifests.run(); });
    Http::superviseTask(m_context.loop, "load-weights", [this] { return m_loader.run(); });
}

Http::HttpResponse StagingNode::handleManifestRequest(const Http::HttpRequest& request) const
{
    return m_server.handleManifestRequest(request);
}

asio::awaitable<Http::HttpResponse> StagingNode::handlePieceRequest(Http::HttpRequest request)
{
    return m_server.handlePieceRequest(std::move(request));
}

} // namespace Lavenderloft::Staging
