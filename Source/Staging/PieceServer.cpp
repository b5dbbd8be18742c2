#include "Staging/PieceServer.h"

#include "Http/Sleep.h"
#include "Staging/ManifestCodec.h"
#include "Staging/Queries/ClassifyResponse.h"
#include "Staging/Queries/ExpectPiece.h"
#include "Staging/Queries/PlanLoad.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    // How long a request from another agent waits for a piece that is still being fetched.
    constexpr std::chrono::milliseconds pieceWaitTimeout = 400ms;
    constexpr std::chrono::milliseconds pieceWaitInterval = 20ms;

    Http::HttpResponse makeBinaryResponse(std::string bytes)
    {
        return { 200, { { "Content-Type", "application/octet-stream" } }, std::move(bytes) };
    }

} // namespace

PieceServer::PieceServer(const StagingContext& context, const EngineMonitor& monitor, const ManifestFetcher& manifests, const EnginePieces& pieces, PieceFetcher& fetcher)
    : m_context(context)
    , m_monitor(monitor)
    , m_manifests(manifests)
    , m_pieces(pieces)
    , m_fetcher(fetcher)
    , m_uploads(context.settings.linkBitsPerSecond)
{
}

Http::HttpResponse PieceServer::handleManifestRequest(const Http::HttpRequest& request) const
{
    for (auto& [version, manifest] : m_manifests.all()) {
        if (request.target == encodeManifestPath(manifest.model, version))
            return makeBinaryResponse(encodeManifest(manifest));
    }
    return { Queries::notAvailableStatus, {}, "no manifest of this version" };
}

asio::awaitable<Http::HttpResponse> PieceServer::handlePieceRequest(Http::HttpRequest request)
{
    auto name = decodePiecePath(request.target);
    if (!name)
        co_return Http::HttpResponse { 400, {}, "invalid path: expected /piece/REGION/MODEL/VERSION/INDEX" };
    co_await waitForPiece(*name);
    if (canServe(*name)) {
        auto response = co_await sendPiece(*name);
        co_return response;
    }
    if (isExpected(*name))
        co_return Http::HttpResponse { 503, {}, "piece is still being fetched" };
    co_return Http::HttpResponse { Queries::notAvailableStatus, {}, "piece is not available and not assigned to this agent" };
}

asio::awaitable<void> PieceServer::waitForPiece(const PieceName& name)
{
    auto until = m_context.clock.now() + pieceWaitTimeout;
    while (!canServe(name) && m_context.clock.now() < until && isExpected(name))
        co_await Http::sleepFor(m_context.loop, pieceWaitInterval);
}

// Reads the piece from the engine and returns it once the link has room for it.
asio::awaitable<Http::HttpResponse> PieceServer::sendPiece(const PieceName& name)
{
    auto engine = m_context.engineClient();
    auto bytes = co_await m_pieces.read(engine, name.model, name.piece);
    if (!bytes)
        co_return Http::HttpResponse { Queries::notAvailableStatus, {}, "piece is not stored at the engine" };
    if (m_pieces.hasChecklistOf(name.version) && !m_pieces.checklist()->matches(name.piece, *bytes))
        co_return Http::HttpResponse { Queries::notAvailableStatus, {}, "stored piece does not match its digest" };
    auto delay = m_uploads.reserve(bytes->size(), m_context.clock.now());
    if (!delay)
        co_return Http::HttpResponse { 503, {}, "upload queue is full" };
    co_await Http::sleepFor(m_context.loop, std::chrono::duration_cast<std::chrono::milliseconds>(*delay));
    co_return makeBinaryResponse(std::move(*bytes));
}

bool PieceServer::canServe(const PieceName& name) const
{
    return Queries::canServePiece(m_pieces.checklist(), m_monitor.wholeVersion(), name);
}

// Whether this agent is assigned to fetch the piece for the requesting agent, or may be as soon as it learns of the
// version.
bool PieceServer::isExpected(const PieceName& name)
{
    auto desired = m_monitor.findDesiredWeights();
    if (!m_monitor.report())
        return false;
    switch (Queries::expectPiece(desired, m_pieces.checklist(), name)) {
    case Queries::PieceExpectation::None:
        return false;
    case Queries::PieceExpectation::OnceFetchingStarts:
        return canStartFetching(*desired);
    case Queries::PieceExpectation::IfAssigned:
        return Queries::isAssignedFor(m_fetcher.assignment(*desired, name.piece), name.region, m_context.settings.region);
    }
    return false;
}

// An agent that can't reach the origin can't start fetching, while others may already have the piece.
bool PieceServer::canStartFetching(const DesiredWeights& desired) const
{
    if (m_manifests.hasFailedRecently(desired.declared.version))
        return false;
    return !Queries::isFetchDeferred(*m_context.snapshot(), m_context.settings, desired, m_monitor.wholeVersion(), m_context.clock.now());
}

} // namespace Lavenderloft::Staging
