#include "Staging/PieceFetcher.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Commands/RequeuePiece.h"
#include "Staging/Events.h"
#include "Staging/PieceName.h"
#include "Staging/Queries/ClassifyResponse.h"
#include "Staging/Queries/OrderPieces.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned parallelFetches = 4;
    constexpr std::chrono::milliseconds completionCheckInterval = 50ms;
    // Delay after a source failed to deliver a piece.
    constexpr std::chrono::milliseconds retryDelay = 30ms;
    // Covers the time that an agent waits for the piece itself and for upload bandwidth.
    constexpr std::chrono::milliseconds agentTimeout = 4000ms;
    // Delay after the manifest was not available.
    constexpr std::chrono::milliseconds manifestRetryDelay = 500ms;

} // namespace

PieceFetcher::PieceFetcher(const StagingContext& context, const EngineMonitor& monitor, ManifestFetcher& manifests, EnginePieces& pieces)
    : m_context(context)
    , m_monitor(monitor)
    , m_manifests(manifests)
    , m_pieces(pieces)
    , m_sources(context.settings)
{
}

asio::awaitable<bool> PieceFetcher::prepare(const DesiredWeights& desired)
{
    bool hasManifest = m_pieces.hasChecklistOf(desired.declared.version);
    if (hasManifest && m_pieces.isSameEngine())
        co_return true;
    m_pieces.recordEngine();
    if (hasManifest) {
        m_pieces.restartChecklist();
    } else {
        auto manifest = co_await m_manifests.fetch(desired);
        if (!manifest) {
            co_await Http::sleepFor(m_context.loop, manifestRetryDelay);
            co_return false;
        }
        m_pieces.startChecklist(std::move(*manifest));
        m_sources.startVersion(desired.declared.version, m_pieces.checklist()->pieceCount());
    }
    Observability::logEvent(Events::stagingStarted, { { "model", desired.model }, { "version", desired.declared.version }, { "pieces", m_pieces.checklist()->pieceCount() }, { "held_version", m_monitor.wholeVersion() } });
    co_await m_pieces.verify();
    co_return true;
}

std::vector<Queries::SourceAgent> PieceFetcher::otherAgents(const DesiredWeights& desired) const
{
    return Queries::listSourceAgents(*m_context.snapshot(), m_context.settings, desired.declared.version);
}

Queries::PieceAssignment PieceFetcher::assignment(const DesiredWeights& desired, unsigned piece)
{
    return m_sources.assignments(otherAgents(desired), m_context.clock.now()).ownAssignment(piece);
}

PieceFetcher::Queue PieceFetcher::orderMissing(const DesiredWeights& desired)
{
    auto& assignments = m_sources.assignments(otherAgents(desired), m_context.clock.now());
    return Queries::orderPieces(m_pieces.checklist()->missing(), assignments, m_context.settings.address);
}

asio::awaitable<void> PieceFetcher::fetchMissing(const DesiredWeights& desired)
{
    m_sources.startVersion(desired.declared.version, m_pieces.checklist()->pieceCount());
    auto queue = std::make_shared<Queue>(orderMissing(desired));
    auto running = std::make_shared<unsigned>(parallelFetches);
    for (unsigned i = 0; i < parallelFetches; ++i)
        asio::co_spawn(m_context.loop, processQueue(desired, queue, running), asio::detached);
    while (*running > 0)
        co_await Http::sleepFor(m_context.loop, completionCheckInterval);
}

asio::awaitable<void> PieceFetcher::processQueue(const DesiredWeights& initialDesired, std::shared_ptr<Queue> queue, std::shared_ptr<unsigned> running)
{
    // Also when an exception leaves this coroutine; fetchMissing() would wait forever otherwise.
    std::shared_ptr<void> endOfQueue(nullptr, [running](void*) { --*running; });
    auto desired = initialDesired;
    ClientsByAddress clients;
    while (!queue->empty() && m_context.isStillDesired(desired) && m_monitor.report()) {
        auto piece = queue->back();
        queue->pop_back();
        bool isStored = co_await fetchPiece(desired, piece, clients);
        if (!isStored)
            Commands::requeuePiece(*queue, piece, assignment(desired, piece));
    }
}

asio::awaitable<bool> PieceFetcher::fetchPiece(const DesiredWeights& desired, unsigned piece, ClientsByAddress& clients)
{
    auto source = m_sources.nextSource(otherAgents(desired), piece, m_context.clock.now());
    auto bytes = co_await fetchFromSource(desired, piece, source, clients);
    bool isStored = false;
    if (bytes)
        isStored = co_await m_pieces.store(desired.model, piece, std::move(*bytes));
    if (!isStored)
        co_await Http::sleepFor(m_context.loop, retryDelay);
    co_return isStored;
}

Http::PersistentHttpClient& PieceFetcher::clientTo(const Http::Endpoint& endpoint, ClientsByAddress& clients) const
{
    auto& client = clients[endpoint.toString()];
    if (!client)
        client = std::make_unique<Http::PersistentHttpClient>(m_context.loop.get_executor(), endpoint);
    return *client;
}

Http::HttpRequest PieceFetcher::makeRequest(const DesiredWeights& desired, unsigned piece, bool isFromAgent) const
{
    if (!isFromAgent)
        return m_context.protocol.pieceRequest(desired.model, desired.declared.version, piece);
    Http::HttpRequest request;
    request.target = encodePiecePath({ desired.model, desired.declared.version, piece, m_context.settings.region });
    return request;
}

asio::awaitable<std::optional<std::string>> PieceFetcher::fetchFromSource(const DesiredWeights& desired, unsigned piece, const Queries::PieceSource& source, ClientsByAddress& clients)
{
    auto* agent = std::get_if<Queries::FromAgent>(&source);
    auto endpoint = agent ? Http::Endpoint { agent->address, m_context.settings.firstPeerPort } : desired.origin;
    auto& client = clientTo(endpoint, clients);
    auto result = co_await client.call(makeRequest(desired, piece, agent != nullptr), agent ? agentTimeout : StagingContext::originTimeout);
    // The origin accepts fewer connections than there are agents, so an idle one would shut out another agent.
    if (!agent)
        client.disconnect();
    auto outcome = Queries::classifyResponse(result, *m_pieces.checklist(), piece);
    m_sources.recordOutcome(piece, source, outcome, m_context.clock.now());
    if (outcome == SourceOutcome::Delivered)
        co_return Base::takeValue(std::move(result)).body;
    auto& event = outcome == SourceOutcome::Corrupt ? Events::pieceRejected : Events::pieceUnavailable;
    auto problem = Base::succeeded(result) ? "status " + std::to_string(Base::valueOf(result).status) : Base::errorOf(result).describe();
    Observability::logEvent(event, { { "piece", piece }, { "version", desired.declared.version }, { "source", endpoint.toString() }, { "problem", problem } });
    co_return std::nullopt;
}

} // namespace Lavenderloft::Staging
