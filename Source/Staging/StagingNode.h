#pragma once

#include "Peering/PeeringNode.h"
#include "Staging/EngineMonitor.h"
#include "Staging/EnginePieces.h"
#include "Staging/LoadIntent.h"
#include "Staging/LoadReporter.h"
#include "Staging/ManifestFetcher.h"
#include "Staging/PieceFetcher.h"
#include "Staging/PieceServer.h"
#include "Staging/StagingContext.h"
#include "Staging/WeightLoader.h"

namespace Lavenderloft::Staging {

// Monitors the engine on this VM, reports its load to the routers, and stages and loads the declared weights. Serves
// the pieces that are stored at the engine to other agents. Composes the parts that do this, and decides nothing. Runs
// on one event loop.
class StagingNode {
public:
    StagingNode(boost::asio::io_context&, const Fleet::NodeSettings&, const Fleet::FleetState&, const EngineProtocol&, Peering::PeeringNode&, const Base::Clock&, Base::RandomSource&);

    StagingNode(const StagingNode&) = delete;
    StagingNode& operator=(const StagingNode&) = delete;

    void start();

    // Serves the manifest of a version to another agent.
    Http::HttpResponse handleManifestRequest(const Http::HttpRequest&) const;

    // Serves a piece to another agent.
    boost::asio::awaitable<Http::HttpResponse> handlePieceRequest(Http::HttpRequest);

private:
    // The parts refer to each other and are constructed in this order.
    const StagingContext m_context;
    LoadIntent m_intent;
    LoadState m_loadState;
    EngineMonitor m_monitor;
    LoadReporter m_reporter;
    ManifestFetcher m_manifests;
    EnginePieces m_pieces;
    PieceFetcher m_fetcher;
    PieceServer m_server;
    WeightLoader m_loader;
};

} // namespace Lavenderloft::Staging
