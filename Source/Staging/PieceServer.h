#pragma once

#include "Staging/EngineMonitor.h"
#include "Staging/EnginePieces.h"
#include "Staging/ManifestFetcher.h"
#include "Staging/PieceFetcher.h"
#include "Staging/PieceName.h"
#include "Staging/StagingContext.h"
#include "Staging/UploadPacer.h"

#include <boost/asio/awaitable.hpp>

namespace Lavenderloft::Staging {

// Serves the pieces that are stored at the local engine, and their manifest, to other agents. Runs on one event loop.
class PieceServer {
public:
    PieceServer(const StagingContext&, const EngineMonitor&, const ManifestFetcher&, const EnginePieces&, PieceFetcher&);

    Http::HttpResponse handleManifestRequest(const Http::HttpRequest&) const;

    // Waits a short time for a piece that this agent is assigned to fetch.
    boost::asio::awaitable<Http::HttpResponse> handlePieceRequest(Http::HttpRequest);

private:
    boost::asio::awaitable<void> waitForPiece(const PieceName&);
    boost::asio::awaitable<Http::HttpResponse> sendPiece(const PieceName&);
    bool canServe(const PieceName&) const;
    bool isExpected(const PieceName&);
    bool canStartFetching(const DesiredWeights&) const;

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    const ManifestFetcher& m_manifests;
    const EnginePieces& m_pieces;
    PieceFetcher& m_fetcher;
    UploadPacer m_uploads;
};

} // namespace Lavenderloft::Staging
