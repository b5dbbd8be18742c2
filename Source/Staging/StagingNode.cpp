#include "Staging/StagingNode.h"

#include "Base/RendezvousHash.h"
#include "Fleet/Queries/ReadFleet.h"
#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Events.h"
#include "Staging/ManifestCodec.h"
#include "Staging/Queries/DistributeGrants.h"
#include "Staging/Queries/PlanLoad.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds reportInterval = 100ms;
    // The end of the engine is reported for this time, because datagrams may be lost.
    constexpr std::chrono::milliseconds endReportPeriod = 1000ms;
    constexpr std::chrono::milliseconds engineTimeout = 1500ms;
    constexpr std::chrono::milliseconds checkInterval = 100ms;
    // Delay after a source failed to deliver a piece.
    constexpr std::chrono::milliseconds fetchRetryDelay = 30ms;
    // Covers the time that an agent waits for the piece itself and for upload bandwidth.
    constexpr std::chrono::milliseconds agentTimeout = 4000ms;
    // How long a request from another agent waits for a piece that is still being fetched.
    constexpr std::chrono::milliseconds pieceWaitTimeout = 200ms;
    constexpr std::chrono::milliseconds pieceWaitInterval = 40ms;
    constexpr unsigned notAvailableStatus = 404;
    constexpr std::chrono::milliseconds originTimeout = 5000ms;
    constexpr std::chrono::milliseconds connectionRetryDelay = 500ms;
    // Agents to request a manifest from before the origin is tried again.
    constexpr unsigned manifestAttempts = 3;
    constexpr std::chrono::milliseconds manifestTimeout = 1000ms;
    // How long an agent promises no pieces to others after it failed to fetch the manifest.
    constexpr std::chrono::milliseconds originBackoff = 3000ms;
    constexpr unsigned parallelFetches = 4;
    // Time for the routers to learn that the engine accepts no new requests.
    constexpr std::chrono::milliseconds pausePropagationDelay = 60ms;
    // How long running requests may take to finish before they are aborted and resumed elsewhere.
    constexpr std::chrono::milliseconds drainTimeout = 700ms;
    // A load request without effect is repeated after this time.
    constexpr std::chrono::seconds loadTimeout = 8s;
    constexpr std::chrono::milliseconds loadPollInterval = 100ms;

    bool failedAs(const Base::Result<Http::HttpResponse, Http::HttpError>& result, Http::HttpErrorKind kind)
    {
        return !Base::succeeded(result) && Base::errorOf(result).kind == kind;
    }

    // Puts a piece back after a failed attempt. Pieces are taken from the end of the queue: one that other agents
    // wait for is retried after a few others, any other one last.
    void requeue(std::vector<unsigned>& queue, unsigned piece, Queries::PieceAssignment assignment)
    {
        constexpr std::ptrdiff_t piecesBetween = 2;
        auto size = static_cast<std::ptrdiff_t>(queue.size());
        auto position = assignment == Queries::PieceAssignment::None ? 0 : std::max<std::ptrdiff_t>(size - piecesBetween, 0);
        queue.insert(queue.begin() + position, piece);
    }

} // namespace

StagingNode::StagingNode(asio::io_context& context, const Fleet::NodeSettings& settings, const Fleet::FleetState& fleet, const EngineProtocol& protocol, Peering::PeeringNode& peering, const Base::Clock& clock, Base::RandomSource& random)
    : m_context(context)
    , m_settings(settings)
    , m_fleet(fleet)
    , m_protocol(protocol)
    , m_peering(peering)
    , m_clock(clock)
    , m_random(random)
    , m_sources(settings)
    , m_uploads(settings.linkBitsPerSecond)
{
}

void StagingNode::start()
{
    asio::co_spawn(
        m_context, [this] { return pollEngine(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return maintainWeights(); }, asio::detached);
}

asio::awaitable<void> StagingNode::pollEngine()
{
    Http::PersistentHttpClient client(m_context.get_executor(), *m_settings.localEngine);
    bool wasReached = false;
    while (true) {
        auto result = co_await client.call(m_protocol.reportRequest(), engineTimeout);
        // The engine may only have closed an idle connection; if it has ended, it accepts no new one.
        if (failedAs(result, Http::HttpErrorKind::Broken))
            result = co_await client.call(m_protocol.reportRequest(), engineTimeout);
        std::optional<EngineReport> report;
        std::string problem;
        if (Base::succeeded(result)) {
            auto read = m_protocol.readReport(Base::valueOf(result));
            if (Base::succeeded(read))
                report = Base::valueOf(read);
            else
                problem = Base::errorOf(read).describe();
        } else {
            problem = Base::errorOf(result).describe();
        }
        bool hasRestarted = m_engine && report && report->startedAt != m_engine->startedAt;
        if (hasRestarted || (m_engine && failedAs(result, Http::HttpErrorKind::NotSent)))
            m_engineEndedAt = m_clock.now();
        m_engine = report;
        detectEngineStart();
        if (m_engine.has_value() != wasReached) {
            wasReached = m_engine.has_value();
            Observability::logEvent(wasReached ? Events::engineReached : Events::engineLost, { { "problem", problem }, { "whole_version", wholeVersion() } });
        }
        if (m_engine)
            reportLoad();
        else if (timeSinceEnd())
            reportEnd();
        co_await Http::sleepFor(m_context, reportInterval);
    }
}

uint64_t StagingNode::wholeVersion() const
{
    auto desired = findDesiredWeights();
    if (!m_engine || !desired)
        return 0;
    return Fleet::wholeVersionOf(m_engine->layers, desired->layers);
}

// Time since the engine was seen to end or restart; nothing if that was long ago.
std::optional<std::chrono::milliseconds> StagingNode::timeSinceEnd() const
{
    if (m_engineEndedAt == Base::TimePoint())
        return std::nullopt;
    auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_engineEndedAt);
    return elapsed < endReportPeriod ? std::optional(elapsed) : std::nullopt;
}

// Tells the routers that the engine has ended, so that they need not find out by failed connections.
void StagingNode::reportEnd()
{
    Peering::EngineLoad load;
    load.service = m_settings.localService;
    load.engineAddress = m_settings.localEngine->toString();
    load.paused = true;
    load.endedAgo = timeSinceEnd();
    m_peering.sendLoad(load, m_peering.nextLoadReceivers(), {});
}

void StagingNode::reportLoad()
{
    Peering::EngineLoad load;
    load.service = m_settings.localService;
    load.engineAddress = m_settings.localEngine->toString();
    load.endedAgo = timeSinceEnd();
    load.running = m_engine->running;
    load.queued = m_engine->queued;
    load.wholeVersion = wholeVersion();
    load.paused = m_paused || m_engine->busy;
    auto free = load.paused ? 0 : freeSlots();
    load.cold = coldRate().has_value();
    load.abortsIn = timeUntilAbort();
    auto routers = m_peering.nextLoadReceivers();
    m_peering.sendLoad(load, routers, Queries::distributeGrants(grantableSlots(free), routers, m_settings.dataCentre, m_random));
    m_previousFreeSlots = free;
}

unsigned StagingNode::grantableSlots(unsigned free)
{
    auto slots = std::min(free, m_previousFreeSlots);
    auto rate = coldRate();
    if (rate)
        return m_coldStartLimiter.take(slots, *rate, m_clock.now());
    m_coldStartLimiter.reset();
    return slots;
}

// Treats an engine as cold from its first report after a restart, because its entry in the store follows later.
void StagingNode::detectEngineStart()
{
    if (!m_engine || m_engine->startedAt == m_engineStart)
        return;
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    bool wasKnown = m_engineStart != 0;
    m_engineStart = m_engine->startedAt;
    if (!wasKnown || !snapshot->configuration)
        return;
    auto service = snapshot->configuration->services.find(m_settings.localService);
    if (service != snapshot->configuration->services.end())
        m_coldUntil = m_clock.now() + service->second.coldStart;
}

// The configured request rate of a cold engine; nullopt if the engine is not cold or has no such limit.
std::optional<double> StagingNode::coldRate() const
{
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    if (!snapshot->configuration)
        return std::nullopt;
    auto service = snapshot->configuration->services.find(m_settings.localService);
    if (service == snapshot->configuration->services.end() || service->second.coldRequestsPerSecond <= 0)
        return std::nullopt;
    auto now = m_clock.now();
    auto target = findOwnTarget(*snapshot);
    if (now < m_coldUntil || (target && target->isCold(now)))
        return service->second.coldRequestsPerSecond;
    return std::nullopt;
}

std::shared_ptr<const Fleet::KnownTarget> StagingNode::findOwnTarget(const Fleet::FleetSnapshot& snapshot) const
{
    auto targets = snapshot.targetsByService.find(m_settings.localService);
    if (targets == snapshot.targetsByService.end())
        return nullptr;
    for (auto& target : targets->second) {
        if (target->entry.address == *m_settings.localEngine)
            return target;
    }
    return nullptr;
}

// Number of further requests that the engine could start now.
unsigned StagingNode::freeSlots() const
{
    auto target = findOwnTarget(*Fleet::Queries::currentSnapshot(m_fleet));
    auto taken = m_engine->running + m_engine->queued;
    return target && target->entry.slots > taken ? target->entry.slots - taken : 0;
}

std::optional<StagingNode::DesiredWeights> StagingNode::findDesiredWeights() const
{
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    if (!snapshot->configuration)
        return std::nullopt;
    auto& services = snapshot->configuration->services;
    auto service = services.find(m_settings.localService);
    if (service == services.end() || !service->second.weights || service->second.weights->models.empty())
        return std::nullopt;
    DesiredWeights desired;
    desired.model = service->second.weights->models.front();
    desired.layers = service->second.weights->layers;
    desired.pieces = service->second.weights->pieces;
    auto declared = snapshot->weights.find(desired.model);
    // Version 1 is in force until a version is declared.
    desired.declared = declared == snapshot->weights.end() || declared->second.empty() ? Fleet::DeclaredWeights { 1, {} } : declared->second.back();
    for (auto& [name, candidate] : services) {
        if (candidate.origin)
            desired.origin = *candidate.origin;
    }
    return desired;
}

bool StagingNode::engineHasLoaded(const DesiredWeights& desired) const
{
    return wholeVersion() >= desired.declared.version;
}

bool StagingNode::isStillDesired(const DesiredWeights& desired) const
{
    auto now = findDesiredWeights();
    return now && now->model == desired.model && now->declared.version == desired.declared.version;
}

asio::awaitable<void> StagingNode::maintainWeights()
{
    while (true) {
        auto desired = findDesiredWeights();
        if (m_engine && desired && !desired->origin.host.empty() && !engineHasLoaded(*desired) && !m_engine->busy)
            co_await stageAndLoad(*desired);
        co_await Http::sleepFor(m_context, checkInterval);
    }
}

asio::awaitable<void> StagingNode::stageAndLoad(const DesiredWeights& desired)
{
    updateLoadPlan(desired);
    if (isFetchDeferred(desired))
        co_return;
    bool isPrepared = co_await prepareChecklist(desired);
    if (!isPrepared)
        co_return;
    if (!m_checklist->isComplete()) {
        co_await fetchMissing(desired);
        if (!m_checklist || !m_checklist->isComplete())
            co_return;
    }
    Observability::logEvent(Events::stagingComplete, { { "model", desired.model }, { "version", desired.declared.version } });
    co_await waitForLoadStart(desired);
    if (!isStillDesired(desired))
        co_return;
    co_await verifyStoredPieces();
    if (m_checklist->isComplete())
        co_await load(desired);
}

bool StagingNode::isFetchDeferred(const DesiredWeights& desired) const
{
    if (wholeVersion() > 0)
        return false;
    return m_clock.now() < Queries::earliestFetch(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, desired.declared, desired.layers);
}

// Made before the pieces are fetched, so that load reports can announce the abort in time. An engine that serves
// nothing loads without a plan, as soon as it can.
void StagingNode::updateLoadPlan(const DesiredWeights& desired)
{
    m_plan.reset();
    if (wholeVersion() > 0)
        m_plan = Queries::planLoad(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, desired.model, desired.declared, wholeVersion());
}

asio::awaitable<void> StagingNode::waitForLoadStart(const DesiredWeights& desired)
{
    while (m_plan && m_clock.now() < m_plan->startAt && isStillDesired(desired))
        co_await Http::sleepFor(m_context, checkInterval);
}

std::optional<std::chrono::milliseconds> StagingNode::timeUntilAbort() const
{
    if (!m_plan || m_plan->mode != LoadMode::AbortRunning)
        return std::nullopt;
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_plan->startAt - m_clock.now());
    return std::max(left, std::chrono::milliseconds(0));
}

asio::awaitable<bool> StagingNode::prepareChecklist(const DesiredWeights& desired)
{
    bool hasManifest = m_checklist && m_checklist->manifest().version == desired.declared.version;
    if (hasManifest && m_checkedEngineStart == m_engine->startedAt)
        co_return true;
    m_checkedEngineStart = m_engine->startedAt;
    if (hasManifest) {
        m_checklist->markAllMissing();
    } else {
        auto manifest = co_await fetchManifest(desired);
        if (!manifest) {
            m_manifestFailedAt = m_clock.now();
            co_await Http::sleepFor(m_context, connectionRetryDelay);
            co_return false;
        }
        m_checklist.emplace(std::move(*manifest));
        m_sources.startVersion(desired.declared.version, m_checklist->pieceCount());
    }
    Observability::logEvent(Events::stagingStarted, { { "model", desired.model }, { "version", desired.declared.version }, { "pieces", m_checklist->pieceCount() }, { "held_version", wholeVersion() } });
    co_await verifyStoredPieces();
    co_return true;
}

asio::awaitable<std::optional<PieceManifest>> StagingNode::fetchManifest(const DesiredWeights& desired)
{
    Http::PersistentHttpClient origin(m_context.get_executor(), desired.origin);
    auto result = co_await origin.call(m_protocol.manifestRequest(desired.model, desired.declared.version), originTimeout);
    std::string problem;
    if (Base::succeeded(result)) {
        auto manifest = m_protocol.readManifest(Base::valueOf(result));
        if (Base::succeeded(manifest))
            co_return Base::takeValue(std::move(manifest));
        problem = Base::errorOf(manifest).describe();
    } else {
        problem = Base::errorOf(result).describe();
    }
    Observability::logEvent(Events::pieceUnavailable, { { "source", "origin" }, { "problem", problem } });
    auto agents = otherAgents(desired);
    for (unsigned i = 0; i < manifestAttempts && !agents.empty(); ++i) {
        auto& agent = agents[m_random.nextBelow(agents.size())];
        auto manifest = co_await fetchManifestFromAgent(desired, agent.address);
        if (manifest)
            co_return manifest;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<PieceManifest>> StagingNode::fetchManifestFromAgent(const DesiredWeights& desired, const std::string& address)
{
    Http::PersistentHttpClient client(m_context.get_executor(), Http::Endpoint { address, m_settings.firstPeerPort });
    Http::HttpRequest request;
    request.target = encodeManifestPath(desired.model, desired.declared.version);
    auto result = co_await client.call(std::move(request), manifestTimeout);
    std::string problem;
    if (!Base::succeeded(result)) {
        problem = Base::errorOf(result).describe();
    } else if (Base::valueOf(result).status != 200) {
        problem = "status " + std::to_string(Base::valueOf(result).status);
    } else {
        auto manifest = decodeManifest(Base::valueOf(result).body);
        bool fits = manifest && manifest->model == desired.model && manifest->version == desired.declared.version && manifest->digests.size() == desired.pieces;
        if (fits)
            co_return manifest;
        problem = "response is not a manifest of the declared version";
    }
    Observability::logEvent(Events::pieceUnavailable, { { "source", address }, { "problem", problem } });
    co_return std::nullopt;
}

Http::HttpResponse StagingNode::handleManifestRequest(const Http::HttpRequest& request) const
{
    if (!m_checklist || request.target != encodeManifestPath(m_checklist->manifest().model, m_checklist->manifest().version))
        return { notAvailableStatus, {}, "no manifest of this version" };
    return { 200, { { "Content-Type", "application/octet-stream" } }, encodeManifest(m_checklist->manifest()) };
}

asio::awaitable<std::optional<std::string>> StagingNode::readStoredPiece(Http::PersistentHttpClient& engine, const std::string& model, unsigned piece)
{
    auto result = co_await engine.call(m_protocol.storedPieceRequest(model, piece), engineTimeout);
    if (!Base::succeeded(result) || Base::valueOf(result).status != 200)
        co_return std::nullopt;
    co_return Base::takeValue(std::move(result)).body;
}

asio::awaitable<void> StagingNode::verifyStoredPieces()
{
    Http::PersistentHttpClient engine(m_context.get_executor(), *m_settings.localEngine);
    for (unsigned piece = 0; piece < m_checklist->pieceCount(); ++piece) {
        auto bytes = co_await readStoredPiece(engine, m_checklist->manifest().model, piece);
        if (bytes && m_checklist->matches(piece, *bytes)) {
            m_checklist->markPresent(piece);
            continue;
        }
        if (bytes && m_checklist->isPresent(piece))
            Observability::logEvent(Events::pieceRejected, { { "piece", piece }, { "version", m_checklist->manifest().version }, { "source", "engine" } });
        m_checklist->markMissing(piece);
    }
}

std::vector<Queries::SourceAgent> StagingNode::otherAgents(const DesiredWeights& desired) const
{
    return Queries::listSourceAgents(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, desired.declared.version);
}

// Returns the missing pieces in reverse fetch order, because the queue is processed from its end: the pieces that
// other agents wait for come last.
std::vector<unsigned> StagingNode::missingInFetchOrder(const DesiredWeights& desired)
{
    auto agents = otherAgents(desired);
    auto now = m_clock.now();
    auto pieces = m_checklist->missing();
    // Agents start at different pieces, so that they do not all request the same one at once.
    std::rotate(pieces.begin(), pieces.begin() + static_cast<std::ptrdiff_t>(Base::stableHash(m_settings.address) % std::max<size_t>(pieces.size(), 1)), pieces.end());
    std::stable_sort(pieces.begin(), pieces.end(), [&](unsigned left, unsigned right) { return m_sources.assignment(agents, left, now) > m_sources.assignment(agents, right, now); });
    return pieces;
}

asio::awaitable<void> StagingNode::fetchMissing(const DesiredWeights& desired)
{
    m_sources.startVersion(desired.declared.version, m_checklist->pieceCount());
    auto queue = std::make_shared<std::vector<unsigned>>(missingInFetchOrder(desired));
    auto running = std::make_shared<unsigned>(parallelFetches);
    for (unsigned i = 0; i < parallelFetches; ++i)
        asio::co_spawn(m_context, fetchPieces(desired, queue, running), asio::detached);
    while (*running > 0)
        co_await Http::sleepFor(m_context, checkInterval / 2);
}

asio::awaitable<void> StagingNode::fetchPieces(const DesiredWeights& initialDesired, std::shared_ptr<std::vector<unsigned>> queue, std::shared_ptr<unsigned> running)
{
    auto desired = initialDesired;
    ClientsByAddress clients;
    while (!queue->empty() && isStillDesired(desired) && m_engine) {
        auto piece = queue->back();
        queue->pop_back();
        bool fetched = co_await fetchPiece(desired, piece, clients);
        if (!fetched)
            requeue(*queue, piece, m_sources.assignment(otherAgents(desired), piece, m_clock.now()));
    }
    --*running;
}

SourceOutcome StagingNode::classifyResponse(const Base::Result<Http::HttpResponse, Http::HttpError>& result, unsigned piece) const
{
    if (!Base::succeeded(result))
        return SourceOutcome::Unreachable;
    auto& response = Base::valueOf(result);
    if (response.status == notAvailableStatus)
        return SourceOutcome::NotAvailable;
    if (response.status != 200)
        return SourceOutcome::Busy;
    return m_checklist->matches(piece, response.body) ? SourceOutcome::Delivered : SourceOutcome::Corrupt;
}

asio::awaitable<std::optional<std::string>> StagingNode::fetchFromSource(const DesiredWeights& desired, unsigned piece, const Queries::PieceSource& source, ClientsByAddress& clients)
{
    auto* agent = std::get_if<Queries::FromAgent>(&source);
    auto endpoint = agent ? Http::Endpoint { agent->address, m_settings.firstPeerPort } : desired.origin;
    auto& client = clients[endpoint.toString()];
    if (!client)
        client = std::make_unique<Http::PersistentHttpClient>(m_context.get_executor(), endpoint);
    Http::HttpRequest request;
    if (agent)
        request.target = encodePiecePath({ desired.model, desired.declared.version, piece, m_settings.region });
    else
        request = m_protocol.pieceRequest(desired.model, desired.declared.version, piece);
    auto result = co_await client->call(std::move(request), agent ? agentTimeout : originTimeout);
    auto outcome = classifyResponse(result, piece);
    m_sources.recordOutcome(piece, source, outcome, m_clock.now());
    if (outcome == SourceOutcome::Delivered)
        co_return Base::takeValue(std::move(result)).body;
    auto& event = outcome == SourceOutcome::Corrupt ? Events::pieceRejected : Events::pieceUnavailable;
    auto problem = Base::succeeded(result) ? "status " + std::to_string(Base::valueOf(result).status) : Base::errorOf(result).describe();
    Observability::logEvent(event, { { "piece", piece }, { "version", desired.declared.version }, { "source", endpoint.toString() }, { "problem", problem } });
    co_return std::nullopt;
}

asio::awaitable<bool> StagingNode::storePiece(const DesiredWeights& desired, unsigned piece, std::string bytes)
{
    Http::PersistentHttpClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto stored = co_await engine.call(m_protocol.storePieceRequest(desired.model, piece, std::move(bytes)), engineTimeout);
    bool isStored = Base::succeeded(stored) && Base::valueOf(stored).status / 100 == 2;
    if (!isStored)
        Observability::logEvent(Events::pieceUnavailable, { { "piece", piece }, { "source", "engine" }, { "problem", Base::succeeded(stored) ? "status " + std::to_string(Base::valueOf(stored).status) : Base::errorOf(stored).describe() } });
    co_return isStored;
}

asio::awaitable<bool> StagingNode::fetchPiece(const DesiredWeights& desired, unsigned piece, ClientsByAddress& clients)
{
    auto source = m_sources.nextSource(otherAgents(desired), piece, m_clock.now());
    auto bytes = co_await fetchFromSource(desired, piece, source, clients);
    bool isStored = false;
    if (bytes)
        isStored = co_await storePiece(desired, piece, std::move(*bytes));
    if (isStored)
        m_checklist->markPresent(piece);
    else
        co_await Http::sleepFor(m_context, fetchRetryDelay);
    co_return isStored;
}

// Most requests finish within the timeout. Waiting for the few long ones would delay the load by seconds.
asio::awaitable<void> StagingNode::waitForRunningRequests()
{
    auto until = m_clock.now() + drainTimeout;
    while (m_clock.now() < until && m_engine && m_engine->running + m_engine->queued > 0)
        co_await Http::sleepFor(m_context, loadPollInterval / 2);
}

asio::awaitable<void> StagingNode::load(const DesiredWeights& desired)
{
    m_paused = true;
    if (m_engine)
        reportLoad();
    co_await Http::sleepFor(m_context, pausePropagationDelay);
    auto mode = m_plan ? m_plan->mode : LoadMode::FinishRunning;
    if (mode == LoadMode::AbortRunning)
        co_await waitForRunningRequests();
    Http::PersistentHttpClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto result = co_await engine.call(m_protocol.loadRequest(desired.model, desired.declared.version, mode), engineTimeout);
    auto response = Base::succeeded(result) ? m_protocol.readLoadResponse(Base::valueOf(result)) : LoadResponse::Refused;
    Observability::logEvent(Events::loadOrdered, { { "model", desired.model }, { "version", desired.declared.version }, { "running", m_engine ? m_engine->running : 0 }, { "queued", m_engine ? m_engine->queued : 0 }, { "status", Base::succeeded(result) ? Base::valueOf(result).status : 0 }, { "problem", Base::succeeded(result) ? std::string() : Base::errorOf(result).describe() } });
    // Without a response, the request may still have been accepted; the engine's reports show whether it was.
    bool mayLoad = response != LoadResponse::Conflict;
    auto until = m_clock.now() + (mayLoad ? loadTimeout : std::chrono::seconds(0));
    while (m_clock.now() < until && m_engine && !engineHasLoaded(desired) && isStillDesired(desired))
        co_await Http::sleepFor(m_context, loadPollInterval);
    m_paused = false;
    m_plan.reset();
    if (engineHasLoaded(desired))
        Observability::logEvent(Events::weightsLoaded, { { "model", desired.model }, { "version", desired.declared.version } });
}

bool StagingNode::canServePiece(uint64_t version, unsigned piece) const
{
    if (m_checklist && m_checklist->manifest().version == version)
        return piece < m_checklist->pieceCount() && m_checklist->isPresent(piece);
    // An engine that started with its weights has pieces for which this agent has no manifest.
    return wholeVersion() == version;
}

// Whether this agent is assigned to fetch the piece for the requesting agent, or may be as soon as it learns of the
// version. An agent of another region may wait only for the agent that fetches the piece from the origin: otherwise
// two agents, each of which considers the other one assigned, would wait for each other forever.
bool StagingNode::isExpectingPiece(const PieceName& name)
{
    auto desired = findDesiredWeights();
    if (!desired || !m_engine || desired->declared.version > name.version)
        return false;
    if (desired->declared.version < name.version || !m_checklist || m_checklist->manifest().version != name.version) {
        // An agent that can't reach the origin can't start fetching, while others may already have the piece.
        bool isOriginUnreachable = m_manifestFailedAt && m_clock.now() - *m_manifestFailedAt < originBackoff;
        return !isOriginUnreachable && !isFetchDeferred(*desired);
    }
    if (name.piece >= m_checklist->pieceCount())
        return false;
    auto assignment = m_sources.assignment(otherAgents(*desired), name.piece, m_clock.now());
    return assignment == Queries::PieceAssignment::ForFleet || (assignment == Queries::PieceAssignment::ForRegion && name.region == m_settings.region);
}

asio::awaitable<Http::HttpResponse> StagingNode::handlePieceRequest(Http::HttpRequest request)
{
    auto name = decodePiecePath(request.target);
    if (!name)
        co_return Http::HttpResponse { 400, {}, "invalid path: expected /piece/REGION/MODEL/VERSION/INDEX" };
    auto until = m_clock.now() + pieceWaitTimeout;
    while (!canServePiece(name->version, name->piece) && m_clock.now() < until && isExpectingPiece(*name))
        co_await Http::sleepFor(m_context, pieceWaitInterval);
    if (!canServePiece(name->version, name->piece)) {
        if (isExpectingPiece(*name))
            co_return Http::HttpResponse { 503, {}, "piece is still being fetched" };
        co_return Http::HttpResponse { notAvailableStatus, {}, "piece is not available and not assigned to this agent" };
    }
    Http::PersistentHttpClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto bytes = co_await readStoredPiece(engine, name->model, name->piece);
    if (!bytes)
        co_return Http::HttpResponse { notAvailableStatus, {}, "piece is not stored at the engine" };
    if (m_checklist && m_checklist->manifest().version == name->version && !m_checklist->matches(name->piece, *bytes))
        co_return Http::HttpResponse { notAvailableStatus, {}, "stored piece does not match its digest" };
    auto delay = m_uploads.reserve(bytes->size(), m_clock.now());
    if (!delay)
        co_return Http::HttpResponse { 503, {}, "upload queue is full" };
    co_await Http::sleepFor(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(*delay));
    co_return Http::HttpResponse { 200, { { "Content-Type", "application/octet-stream" } }, std::move(*bytes) };
}

} // namespace Lavenderloft::Staging
