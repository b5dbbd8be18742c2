#include "Staging/PieceFetcher.h"

#include "Base/Digest.h"
#include "Http/Sleep.h"
#include "Http/SpawnTask.h"
#include "Observability/Log.h"
#include "Staging/Commands/RequeuePiece.h"
#include "Staging/Commands/TakePiece.h"
#include "Staging/Events.h"
#include "Staging/PieceName.h"
#include "Staging/Queries/ClassifyResponse.h"
#include "Staging/Queries/EstimateTransfer.h"
#include "Staging/Queries/OrderPieces.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr unsigned parallelFetches = 6;
    constexpr std::chrono::milliseconds completionCheckInterval = 50ms;
    // Delay while no missing piece is due.
    constexpr std::chrono::milliseconds dueCheckInterval = 15ms;
    // Longer than what may wait on the origin's link, so that a connection request is not given up behind it.
    constexpr std::chrono::milliseconds originConnectTimeout = 1500ms;
    // Delay after the origin failed. Agents try again at different times, so that one of them notices its return at once.
    constexpr std::chrono::milliseconds minimumOriginBackoff = 100ms;
    constexpr unsigned originBackoffSpread = 200;
    // Delay after a source failed to deliver a piece.
    constexpr std::chrono::milliseconds retryDelay = 30ms;
    // Covers the time that an agent waits for the piece itself and for upload bandwidth.
    constexpr std::chrono::milliseconds agentTimeout = 4000ms;
    // Over a slow link, or one that many agents share, a piece may take that long.
    constexpr std::chrono::milliseconds maximumAgentTimeout = 16000ms;
    constexpr std::chrono::milliseconds maximumOriginTimeout = 20000ms;

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
    bool hasChecklist = hasCurrentChecklist(desired);
    if (hasChecklist && m_pieces.isSameEngine())
        co_return true;
    m_pieces.recordEngine();
    if (hasChecklist) {
        m_pieces.restartChecklist();
    } else {
        auto* manifest = m_manifests.find(desired.declared.version);
        if (!manifest)
            co_return false;
        m_pieces.startChecklist(*manifest);
        m_sources.startVersion(desired.declared.version, m_pieces.checklist()->pieceCount());
        m_mismatches.clear();
        m_agentTimeouts.clear();
        m_originTimeouts.clear();
    }
    Observability::logEvent(Events::stagingStarted, { { "model", desired.model }, { "version", desired.declared.version }, { "pieces", m_pieces.checklist()->pieceCount() }, { "held_version", m_monitor.wholeVersion() } });
    auto engine = m_context.engineClient();
    co_await m_pieces.verify(engine);
    co_return true;
}

bool PieceFetcher::hasCurrentChecklist(const DesiredWeights& desired) const
{
    if (!m_pieces.hasChecklistOf(desired.declared.version))
        return false;
    auto* manifest = m_manifests.find(desired.declared.version);
    return !manifest || manifest->digests == m_pieces.checklist()->manifest().digests;
}

bool PieceFetcher::canFetchNewest() const
{
    auto newest = m_context.findNewestWeights();
    return !m_isOriginAway && newest && m_manifests.find(newest->declared.version);
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
        Http::spawnTask(m_context.loop, "fetch-pieces", [this, desired, queue, running] { return processQueue(desired, queue, running); });
    while (*running > 0)
        co_await Http::sleepFor(m_context.loop, completionCheckInterval);
}

asio::awaitable<void> PieceFetcher::processQueue(const DesiredWeights& initialDesired, std::shared_ptr<Queue> queue, std::shared_ptr<unsigned> running)
{
    // Also when an exception leaves this coroutine; fetchMissing() would wait forever otherwise.
    std::shared_ptr<void> endOfQueue(nullptr, [running](void*) { --*running; });
    auto desired = initialDesired;
    ClientsByAddress clients;
    while (!queue->empty() && m_monitor.isStillDesired(desired) && m_monitor.report() && hasCurrentChecklist(desired)) {
        auto piece = takeDuePiece(desired, *queue);
        if (!piece) {
            co_await Http::sleepFor(m_context.loop, dueCheckInterval);
            continue;
        }
        bool isStored = co_await fetchPiece(desired, *piece, clients);
        if (!isStored)
            Commands::requeuePiece(*queue, *piece, assignment(desired, *piece));
    }
}

// Takes the first piece that its source is likely to deliver now.
std::optional<unsigned> PieceFetcher::takeDuePiece(const DesiredWeights& desired, Queue& queue)
{
    auto now = m_context.clock.now();
    auto& assignments = m_sources.assignments(otherAgents(desired), now);
    auto start = m_originReturnedAt ? std::max(*m_originReturnedAt, desired.declared.publishedAt) : desired.declared.publishedAt;
    bool mayUseOrigin = !m_isUsingOrigin && now >= m_originBackoffUntil;
    return Commands::takePiece(queue, [&](unsigned piece) {
        switch (assignments.ownAssignment(piece)) {
        case Queries::PieceAssignment::ForFleet:
            return mayUseOrigin && now >= Queries::originTurn(desired, piece, start);
        case Queries::PieceAssignment::ForRegion:
            return now >= Queries::expectedArrival(desired, piece, start);
        case Queries::PieceAssignment::None:
            break;
        }
        return now >= Queries::expectedRelay(desired, piece, start);
    });
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

asio::awaitable<std::optional<std::string>> PieceFetcher::fetchFromSource(const DesiredWeights& desired, unsigned piece, const Queries::PieceSource& source, ClientsByAddress& clients)
{
    auto* agent = std::get_if<Queries::FromAgent>(&source);
    if (!agent) {
        auto bytes = co_await fetchFromOrigin(desired, piece);
        co_return bytes;
    }
    Http::Endpoint endpoint { agent->address, m_context.settings.firstPeerPort };
    Http::HttpRequest request;
    request.target = encodePiecePath({ desired.model, desired.declared.version, piece, m_context.settings.region });
    auto requestedAt = m_context.clock.now();
    auto result = co_await clientTo(endpoint, clients).call(std::move(request), agentTimeoutOf(piece).current());
    recordResponseTime(agentTimeoutOf(piece), result, requestedAt);
    co_return takePieceFrom(desired, piece, source, endpoint, std::move(result));
}

// One request at a time: the agents share the few connections that the origin accepts. The connection is not kept,
// because an idle one would shut out another agent.
asio::awaitable<std::optional<std::string>> PieceFetcher::fetchFromOrigin(const DesiredWeights& desired, unsigned piece)
{
    if (m_isUsingOrigin || m_context.clock.now() < m_originBackoffUntil)
        co_return std::nullopt;
    m_isUsingOrigin = true;
    std::shared_ptr<void> endOfUse(nullptr, [this](void*) { m_isUsingOrigin = false; });
    auto request = m_context.protocol.pieceRequest(desired.model, desired.declared.version, piece);
    Http::PersistentHttpClient client(m_context.loop.get_executor(), desired.origin, originConnectTimeout);
    auto requestedAt = m_context.clock.now();
    auto result = co_await client.call(std::move(request), originTimeoutOf(piece).current());
    recordResponseTime(originTimeoutOf(piece), result, requestedAt);
    recordOriginState(Base::succeeded(result));
    co_return takePieceFrom(desired, piece, Queries::FromOrigin {}, desired.origin, std::move(result));
}

Base::AdaptiveTimeout& PieceFetcher::agentTimeoutOf(unsigned piece)
{
    return m_agentTimeouts.try_emplace(piece, agentTimeout, maximumAgentTimeout).first->second;
}

Base::AdaptiveTimeout& PieceFetcher::originTimeoutOf(unsigned piece)
{
    return m_originTimeouts.try_emplace(piece, StagingContext::originTimeout, maximumOriginTimeout).first->second;
}

void PieceFetcher::recordResponseTime(Base::AdaptiveTimeout& timeout, const PieceResult& result, Base::TimePoint requestedAt) const
{
    if (Base::succeeded(result) && Base::valueOf(result).status == 200)
        timeout.recordResponse(m_context.clock.now() - requestedAt);
    if (!Base::succeeded(result) && Base::errorOf(result).kind == Http::HttpErrorKind::TimedOut)
        timeout.recordTimeout();
}

void PieceFetcher::recordOriginState(bool isReachable)
{
    auto now = m_context.clock.now();
    if (isReachable && m_isOriginAway)
        m_originReturnedAt = now;
    m_isOriginAway = !isReachable;
    if (!isReachable)
        m_originBackoffUntil = now + minimumOriginBackoff + std::chrono::milliseconds(m_context.random.nextBelow(originBackoffSpread));
}

// Returns the piece if the response has it. Records the outcome.
std::optional<std::string> PieceFetcher::takePieceFrom(const DesiredWeights& desired, unsigned piece, const Queries::PieceSource& source, const Http::Endpoint& endpoint, PieceResult result)
{
    auto outcome = Queries::classifyResponse(result, *m_pieces.checklist(), piece);
    m_sources.recordOutcome(piece, source, outcome, m_context.clock.now());
    if (outcome == SourceOutcome::Delivered)
        return Base::takeValue(std::move(result)).body;
    if (outcome == SourceOutcome::Corrupt)
        recordMismatch(desired, piece, Base::valueOf(result).body, source);
    auto& event = outcome == SourceOutcome::Corrupt ? Events::pieceRejected : Events::pieceUnavailable;
    auto problem = Base::succeeded(result) ? "status " + std::to_string(Base::valueOf(result).status) : Base::errorOf(result).describe();
    Observability::logEvent(event, { { "piece", piece }, { "version", desired.declared.version }, { "source", endpoint.toString() }, { "problem", problem } });
    return std::nullopt;
}

void PieceFetcher::recordMismatch(const DesiredWeights& desired, unsigned piece, const std::string& bytes, const Queries::PieceSource& source)
{
    auto* agent = std::get_if<Queries::FromAgent>(&source);
    auto kind = agent ? MismatchEvidence::Source::Agent : MismatchEvidence::Source::Origin;
    if (!m_mismatches.record(piece, Base::sha256(bytes), kind, agent ? agent->address : "origin"))
        return;
    m_mismatches.clear();
    m_manifests.dispute(desired.declared.version);
    Observability::logEvent(Events::manifestDisputed, { { "piece", piece }, { "version", desired.declared.version }, { "source", agent ? agent->address : "origin" } });
}

} // namespace Lavenderloft::Staging
