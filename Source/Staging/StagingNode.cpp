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
    constexpr std::chrono::milliseconds engineTimeout = 1500ms;
    constexpr std::chrono::milliseconds checkInterval = 100ms;
    // Waited before the next piece where a source did not give one.
    constexpr std::chrono::milliseconds fetchRetryDelay = 30ms;
    // An agent may wait for the piece itself, and for its turn on the link.
    constexpr std::chrono::milliseconds agentTimeout = 4000ms;
    // How long an agent waits for a piece that another one asks for.
    constexpr std::chrono::milliseconds longestPieceWait = 200ms;
    constexpr std::chrono::milliseconds pieceWaitInterval = 40ms;
    constexpr unsigned notHereStatus = 404;
    constexpr std::chrono::milliseconds originTimeout = 5000ms;
    constexpr std::chrono::milliseconds connectionRetryDelay = 500ms;
    // Other agents that are asked for a manifest before the origin is asked again.
    constexpr unsigned manifestSources = 3;
    constexpr std::chrono::milliseconds manifestTimeout = 1000ms;
    // An agent that could not reach the origin takes no duties for so long.
    constexpr std::chrono::milliseconds originAvoidance = 3000ms;
    // Pieces that are fetched at the same time.
    constexpr unsigned parallelFetches = 4;
    // Time for the routers to hear that the engine takes nothing new.
    constexpr std::chrono::milliseconds pauseNotice = 60ms;
    // How long requests may go on before they are moved to other engines.
    constexpr std::chrono::milliseconds drainPatience = 700ms;
    // An order that shows no effect by then is given again.
    constexpr std::chrono::seconds loadTimeout = 8s;
    constexpr std::chrono::milliseconds loadPollInterval = 100ms;

    // A piece for which others wait is tried again after a few others, any other one at the end.
    void putBack(std::vector<unsigned>& queue, unsigned piece, Queries::PieceDuty duty)
    {
        constexpr std::ptrdiff_t piecesBetween = 2;
        auto size = static_cast<std::ptrdiff_t>(queue.size());
        auto position = duty == Queries::PieceDuty::None ? 0 : std::max<std::ptrdiff_t>(size - piecesBetween, 0);
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
        m_context, [this] { return watchEngine(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return keepWeights(); }, asio::detached);
}

asio::awaitable<void> StagingNode::watchEngine()
{
    Http::KeptClient client(m_context.get_executor(), *m_settings.localEngine);
    bool wasReached = false;
    while (true) {
        auto answer = co_await client.call(m_protocol.reportRequest(), engineTimeout);
        std::optional<EngineReport> report;
        std::string problem;
        if (Base::succeeded(answer)) {
            auto read = m_protocol.readReport(Base::valueOf(answer));
            if (Base::succeeded(read))
                report = Base::valueOf(read);
            else
                problem = Base::errorOf(read).describe();
        } else {
            problem = Base::errorOf(answer).describe();
        }
        m_engine = report;
        noteEngineStart();
        if (m_engine.has_value() != wasReached) {
            wasReached = m_engine.has_value();
            Observability::logEvent(wasReached ? Events::engineReached : Events::engineLost, { { "problem", problem }, { "whole_version", wholeVersion() } });
        }
        if (m_engine)
            this->report();
        co_await Http::sleepFor(m_context, reportInterval);
    }
}

uint64_t StagingNode::wholeVersion() const
{
    auto wanted = findWanted();
    if (!m_engine || !wanted)
        return 0;
    return Fleet::wholeVersionOf(m_engine->layers, wanted->layers);
}

void StagingNode::report()
{
    Peering::EngineLoad load;
    load.service = m_settings.localService;
    load.engineAddress = m_settings.localEngine->toString();
    load.running = m_engine->running;
    load.queued = m_engine->queued;
    load.wholeVersion = wholeVersion();
    load.paused = m_paused || m_engine->busy;
    auto free = load.paused ? 0 : freePlaces();
    load.cold = coldRate().has_value();
    load.abortsIn = timeToCut();
    auto routers = m_peering.nextLoadReceivers();
    m_peering.sendLoad(load, routers, Queries::distributeGrants(grantsToDeal(free), routers, m_settings.dataCentre, m_random));
    m_formerlyFree = free;
}

unsigned StagingNode::grantsToDeal(unsigned free)
{
    auto dealt = std::min(free, m_formerlyFree);
    auto rate = coldRate();
    if (rate)
        return m_coldGrants.take(dealt, *rate, m_clock.now());
    m_coldGrants.reset();
    return dealt;
}

// The entry of an engine that has just started comes later than its first report.
void StagingNode::noteEngineStart()
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

// Requests a second that the engine bears while it is cold; nothing if it is not, or bears any number.
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

// Requests that the engine could begin now beside those it has.
unsigned StagingNode::freePlaces() const
{
    auto target = findOwnTarget(*Fleet::Queries::currentSnapshot(m_fleet));
    auto taken = m_engine->running + m_engine->queued;
    return target && target->entry.slots > taken ? target->entry.slots - taken : 0;
}

std::optional<StagingNode::Wanted> StagingNode::findWanted() const
{
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    if (!snapshot->configuration)
        return std::nullopt;
    auto& services = snapshot->configuration->services;
    auto service = services.find(m_settings.localService);
    if (service == services.end() || !service->second.weights || service->second.weights->models.empty())
        return std::nullopt;
    Wanted wanted;
    wanted.model = service->second.weights->models.front();
    wanted.layers = service->second.weights->layers;
    wanted.pieces = service->second.weights->pieces;
    auto declared = snapshot->weights.find(wanted.model);
    // Until a version is declared, the first one is in force.
    wanted.declared = declared == snapshot->weights.end() || declared->second.empty() ? Fleet::DeclaredWeights { 1, {} } : declared->second.back();
    for (auto& [name, candidate] : services) {
        if (candidate.origin)
            wanted.origin = *candidate.origin;
    }
    return wanted;
}

bool StagingNode::engineHolds(const Wanted& wanted) const
{
    return wholeVersion() >= wanted.declared.version;
}

bool StagingNode::isStillWanted(const Wanted& wanted) const
{
    auto now = findWanted();
    return now && now->model == wanted.model && now->declared.version == wanted.declared.version;
}

asio::awaitable<void> StagingNode::keepWeights()
{
    while (true) {
        auto wanted = findWanted();
        if (m_engine && wanted && !wanted->origin.host.empty() && !engineHolds(*wanted) && !m_engine->busy)
            co_await bring(*wanted);
        co_await Http::sleepFor(m_context, checkInterval);
    }
}

asio::awaitable<void> StagingNode::bring(const Wanted& wanted)
{
    planTurn(wanted);
    if (holdsBack(wanted))
        co_return;
    bool isPrepared = co_await prepareChecklist(wanted);
    if (!isPrepared)
        co_return;
    if (!m_checklist->isComplete()) {
        co_await fetchMissing(wanted);
        if (!m_checklist || !m_checklist->isComplete())
            co_return;
    }
    Observability::logEvent(Events::stagingComplete, { { "model", wanted.model }, { "version", wanted.declared.version } });
    co_await waitForTurn(wanted);
    if (!isStillWanted(wanted))
        co_return;
    co_await checkStoredPieces();
    if (m_checklist->isComplete())
        co_await load(wanted);
}

bool StagingNode::holdsBack(const Wanted& wanted) const
{
    if (wholeVersion() > 0)
        return false;
    return m_clock.now() < Queries::earliestFetch(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, wanted.declared, wanted.layers);
}

// Routers are told of the plan while pieces are still on their way. An engine that serves nothing has no turn to
// wait for.
void StagingNode::planTurn(const Wanted& wanted)
{
    m_plan.reset();
    if (wholeVersion() > 0)
        m_plan = Queries::planLoad(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, wanted.model, wanted.declared, wholeVersion());
}

asio::awaitable<void> StagingNode::waitForTurn(const Wanted& wanted)
{
    while (m_plan && m_clock.now() < m_plan->turn && isStillWanted(wanted))
        co_await Http::sleepFor(m_context, checkInterval);
}

std::optional<std::chrono::milliseconds> StagingNode::timeToCut() const
{
    if (!m_plan || m_plan->mode != LoadMode::AbortRunning)
        return std::nullopt;
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_plan->turn - m_clock.now());
    return std::max(left, std::chrono::milliseconds(0));
}

asio::awaitable<bool> StagingNode::prepareChecklist(const Wanted& wanted)
{
    bool hasManifest = m_checklist && m_checklist->manifest().version == wanted.declared.version;
    if (hasManifest && m_checkedEngineStart == m_engine->startedAt)
        co_return true;
    m_checkedEngineStart = m_engine->startedAt;
    if (hasManifest) {
        m_checklist.emplace(m_checklist->manifest());
    } else {
        auto manifest = co_await fetchManifest(wanted);
        if (!manifest) {
            m_manifestFailedAt = m_clock.now();
            co_await Http::sleepFor(m_context, connectionRetryDelay);
            co_return false;
        }
        m_checklist.emplace(std::move(*manifest));
        m_sources.begin(wanted.declared.version, m_checklist->pieceCount());
    }
    Observability::logEvent(Events::stagingStarted, { { "model", wanted.model }, { "version", wanted.declared.version }, { "pieces", m_checklist->pieceCount() }, { "held_version", wholeVersion() } });
    co_await checkStoredPieces();
    co_return true;
}

asio::awaitable<std::optional<PieceManifest>> StagingNode::fetchManifest(const Wanted& wanted)
{
    Http::KeptClient origin(m_context.get_executor(), wanted.origin);
    auto answer = co_await origin.call(m_protocol.manifestRequest(wanted.model, wanted.declared.version), originTimeout);
    std::string problem;
    if (Base::succeeded(answer)) {
        auto manifest = m_protocol.readManifest(Base::valueOf(answer));
        if (Base::succeeded(manifest))
            co_return Base::takeValue(std::move(manifest));
        problem = Base::errorOf(manifest).describe();
    } else {
        problem = Base::errorOf(answer).describe();
    }
    Observability::logEvent(Events::pieceUnavailable, { { "source", "origin" }, { "problem", problem } });
    auto agents = otherAgents(wanted);
    for (unsigned i = 0; i < manifestSources && !agents.empty(); ++i) {
        auto& agent = agents[m_random.below(agents.size())];
        auto manifest = co_await askForManifest(wanted, agent.address);
        if (manifest)
            co_return manifest;
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<PieceManifest>> StagingNode::askForManifest(const Wanted& wanted, const std::string& address)
{
    Http::KeptClient client(m_context.get_executor(), Http::Endpoint { address, m_settings.firstPeerPort });
    Http::HttpRequest request;
    request.target = encodeManifestPath(wanted.model, wanted.declared.version);
    auto answer = co_await client.call(std::move(request), manifestTimeout);
    std::string problem;
    if (!Base::succeeded(answer)) {
        problem = Base::errorOf(answer).describe();
    } else if (Base::valueOf(answer).status != 200) {
        problem = "status " + std::to_string(Base::valueOf(answer).status);
    } else {
        auto manifest = decodeManifest(Base::valueOf(answer).body);
        bool fits = manifest && manifest->model == wanted.model && manifest->version == wanted.declared.version && manifest->digests.size() == wanted.pieces;
        if (fits)
            co_return manifest;
        problem = "the answer is no manifest of the declared version";
    }
    Observability::logEvent(Events::pieceUnavailable, { { "source", address }, { "problem", problem } });
    co_return std::nullopt;
}

Http::HttpResponse StagingNode::handleManifestRequest(const Http::HttpRequest& request) const
{
    if (!m_checklist || request.target != encodeManifestPath(m_checklist->manifest().model, m_checklist->manifest().version))
        return { notHereStatus, {}, "this agent has no manifest of that version" };
    return { 200, { { "Content-Type", "application/octet-stream" } }, encodeManifest(m_checklist->manifest()) };
}

asio::awaitable<std::optional<std::string>> StagingNode::readStored(Http::KeptClient& engine, const std::string& model, unsigned piece)
{
    auto answer = co_await engine.call(m_protocol.storedPieceRequest(model, piece), engineTimeout);
    if (!Base::succeeded(answer) || Base::valueOf(answer).status != 200)
        co_return std::nullopt;
    co_return Base::takeValue(std::move(answer)).body;
}

asio::awaitable<void> StagingNode::checkStoredPieces()
{
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    for (unsigned piece = 0; piece < m_checklist->pieceCount(); ++piece) {
        auto bytes = co_await readStored(engine, m_checklist->manifest().model, piece);
        if (bytes && m_checklist->matches(piece, *bytes)) {
            m_checklist->markPresent(piece);
            continue;
        }
        if (bytes && m_checklist->isPresent(piece))
            Observability::logEvent(Events::pieceRejected, { { "piece", piece }, { "version", m_checklist->manifest().version }, { "source", "engine" } });
        m_checklist->markMissing(piece);
    }
}

std::vector<Queries::SourceAgent> StagingNode::otherAgents(const Wanted& wanted) const
{
    return Queries::listSourceAgents(*Fleet::Queries::currentSnapshot(m_fleet), m_settings, wanted.declared.version);
}

// The pieces for which others wait come last, as they are taken from the end.
std::vector<unsigned> StagingNode::missingByDuty(const Wanted& wanted)
{
    auto agents = otherAgents(wanted);
    auto now = m_clock.now();
    auto pieces = m_checklist->missing();
    // Agents begin at different pieces, so that they do not all ask the same one at once.
    std::rotate(pieces.begin(), pieces.begin() + static_cast<std::ptrdiff_t>(Base::stableHash(m_settings.address) % std::max<size_t>(pieces.size(), 1)), pieces.end());
    std::stable_sort(pieces.begin(), pieces.end(), [&](unsigned left, unsigned right) { return m_sources.duty(agents, left, now) > m_sources.duty(agents, right, now); });
    return pieces;
}

asio::awaitable<void> StagingNode::fetchMissing(const Wanted& wanted)
{
    m_sources.begin(wanted.declared.version, m_checklist->pieceCount());
    auto queue = std::make_shared<std::vector<unsigned>>(missingByDuty(wanted));
    auto running = std::make_shared<unsigned>(parallelFetches);
    for (unsigned i = 0; i < parallelFetches; ++i)
        asio::co_spawn(m_context, fetchPieces(wanted, queue, running), asio::detached);
    while (*running > 0)
        co_await Http::sleepFor(m_context, checkInterval / 2);
}

asio::awaitable<void> StagingNode::fetchPieces(const Wanted& wantedNow, std::shared_ptr<std::vector<unsigned>> queue, std::shared_ptr<unsigned> running)
{
    auto wanted = wantedNow;
    ClientsByAddress clients;
    while (!queue->empty() && isStillWanted(wanted) && m_engine) {
        auto piece = queue->back();
        queue->pop_back();
        bool fetched = co_await fetchPiece(wanted, piece, clients);
        if (!fetched)
            putBack(*queue, piece, m_sources.duty(otherAgents(wanted), piece, m_clock.now()));
    }
    --*running;
}

// What an answer to a request for a piece means.
SourceOutcome StagingNode::judge(const Base::Result<Http::HttpResponse, Http::HttpError>& answer, unsigned piece) const
{
    if (!Base::succeeded(answer))
        return SourceOutcome::Unreachable;
    auto& response = Base::valueOf(answer);
    if (response.status == notHereStatus)
        return SourceOutcome::Disclaimed;
    if (response.status != 200)
        return SourceOutcome::NotYet;
    return m_checklist->matches(piece, response.body) ? SourceOutcome::Delivered : SourceOutcome::Spoilt;
}

asio::awaitable<std::optional<std::string>> StagingNode::askSource(const Wanted& wanted, unsigned piece, const Queries::PieceSource& source, ClientsByAddress& clients)
{
    auto* agent = std::get_if<Queries::FromAgent>(&source);
    auto endpoint = agent ? Http::Endpoint { agent->address, m_settings.firstPeerPort } : wanted.origin;
    auto& client = clients[endpoint.toString()];
    if (!client)
        client = std::make_unique<Http::KeptClient>(m_context.get_executor(), endpoint);
    Http::HttpRequest request;
    if (agent)
        request.target = encodePiecePath({ wanted.model, wanted.declared.version, piece, m_settings.region });
    else
        request = m_protocol.pieceRequest(wanted.model, wanted.declared.version, piece);
    auto answer = co_await client->call(std::move(request), agent ? agentTimeout : originTimeout);
    auto outcome = judge(answer, piece);
    m_sources.note(piece, source, outcome, m_clock.now());
    if (outcome == SourceOutcome::Delivered)
        co_return Base::takeValue(std::move(answer)).body;
    auto& event = outcome == SourceOutcome::Spoilt ? Events::pieceRejected : Events::pieceUnavailable;
    auto problem = Base::succeeded(answer) ? "status " + std::to_string(Base::valueOf(answer).status) : Base::errorOf(answer).describe();
    Observability::logEvent(event, { { "piece", piece }, { "version", wanted.declared.version }, { "source", endpoint.toString() }, { "problem", problem } });
    co_return std::nullopt;
}

asio::awaitable<bool> StagingNode::storePiece(const Wanted& wanted, unsigned piece, std::string bytes)
{
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto stored = co_await engine.call(m_protocol.storePieceRequest(wanted.model, piece, std::move(bytes)), engineTimeout);
    bool isStored = Base::succeeded(stored) && Base::valueOf(stored).status / 100 == 2;
    if (!isStored)
        Observability::logEvent(Events::pieceUnavailable, { { "piece", piece }, { "source", "engine" }, { "problem", Base::succeeded(stored) ? "status " + std::to_string(Base::valueOf(stored).status) : Base::errorOf(stored).describe() } });
    co_return isStored;
}

asio::awaitable<bool> StagingNode::fetchPiece(const Wanted& wanted, unsigned piece, ClientsByAddress& clients)
{
    auto source = m_sources.next(otherAgents(wanted), piece, m_clock.now());
    auto bytes = co_await askSource(wanted, piece, source, clients);
    bool isStored = false;
    if (bytes)
        isStored = co_await storePiece(wanted, piece, std::move(*bytes));
    if (isStored)
        m_checklist->markPresent(piece);
    else
        co_await Http::sleepFor(m_context, fetchRetryDelay);
    co_return isStored;
}

// Most requests end by themselves meanwhile; the few long ones would keep the engine for seconds.
asio::awaitable<void> StagingNode::waitForRunning()
{
    auto until = m_clock.now() + drainPatience;
    while (m_clock.now() < until && m_engine && m_engine->running + m_engine->queued > 0)
        co_await Http::sleepFor(m_context, loadPollInterval / 2);
}

asio::awaitable<void> StagingNode::load(const Wanted& wanted)
{
    m_paused = true;
    if (m_engine)
        report();
    co_await Http::sleepFor(m_context, pauseNotice);
    auto mode = m_plan ? m_plan->mode : LoadMode::FinishRunning;
    if (mode == LoadMode::AbortRunning)
        co_await waitForRunning();
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto answer = co_await engine.call(m_protocol.loadRequest(wanted.model, wanted.declared.version, mode), engineTimeout);
    auto accepted = Base::succeeded(answer) ? m_protocol.readLoadResponse(Base::valueOf(answer)) : LoadResponse::Refused;
    Observability::logEvent(Events::loadOrdered, { { "model", wanted.model }, { "version", wanted.declared.version }, { "running", m_engine ? m_engine->running : 0 }, { "queued", m_engine ? m_engine->queued : 0 }, { "status", Base::succeeded(answer) ? Base::valueOf(answer).status : 0 }, { "problem", Base::succeeded(answer) ? std::string() : Base::errorOf(answer).describe() } });
    // A missing answer may mean that the order was accepted; the report tells.
    bool mayLoad = accepted != LoadResponse::Conflict;
    auto until = m_clock.now() + (mayLoad ? loadTimeout : std::chrono::seconds(0));
    while (m_clock.now() < until && m_engine && !engineHolds(wanted) && isStillWanted(wanted))
        co_await Http::sleepFor(m_context, loadPollInterval);
    m_paused = false;
    m_plan.reset();
    if (engineHolds(wanted))
        Observability::logEvent(Events::weightsLoaded, { { "model", wanted.model }, { "version", wanted.declared.version } });
}

bool StagingNode::mayGive(uint64_t version, unsigned piece) const
{
    if (m_checklist && m_checklist->manifest().version == version)
        return piece < m_checklist->pieceCount() && m_checklist->isPresent(piece);
    // An engine that started with its weights holds pieces that this agent has no manifest of.
    return wholeVersion() == version;
}

// Whether this agent has the duty to fetch the piece for one in the given region, or may learn of it at any
// moment. An agent of another region waits only for one that takes the piece from the origin: two agents
// that each take the other for that one would wait for good.
bool StagingNode::mayGet(const PieceName& name)
{
    auto wanted = findWanted();
    if (!wanted || !m_engine || wanted->declared.version > name.version)
        return false;
    if (wanted->declared.version < name.version || !m_checklist || m_checklist->manifest().version != name.version) {
        // Without the origin this agent can't begin, while others may hold the piece already.
        bool lacksOrigin = m_manifestFailedAt && m_clock.now() - *m_manifestFailedAt < originAvoidance;
        return !lacksOrigin && !holdsBack(*wanted);
    }
    if (name.piece >= m_checklist->pieceCount())
        return false;
    auto duty = m_sources.duty(otherAgents(*wanted), name.piece, m_clock.now());
    return duty == Queries::PieceDuty::ForFleet || (duty == Queries::PieceDuty::ForRegion && name.region == m_settings.region);
}

asio::awaitable<Http::HttpResponse> StagingNode::handlePieceRequest(Http::HttpRequest request)
{
    auto name = decodePiecePath(request.target);
    if (!name)
        co_return Http::HttpResponse { 400, {}, "the path must be /piece/REGION/MODEL/VERSION/INDEX" };
    auto until = m_clock.now() + longestPieceWait;
    while (!mayGive(name->version, name->piece) && m_clock.now() < until && mayGet(*name))
        co_await Http::sleepFor(m_context, pieceWaitInterval);
    if (!mayGive(name->version, name->piece)) {
        if (mayGet(*name))
            co_return Http::HttpResponse { 503, {}, "the piece is being fetched" };
        co_return Http::HttpResponse { notHereStatus, {}, "another agent has the duty for the piece" };
    }
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto bytes = co_await readStored(engine, name->model, name->piece);
    if (!bytes)
        co_return Http::HttpResponse { notHereStatus, {}, "the engine does not hold the piece" };
    if (m_checklist && m_checklist->manifest().version == name->version && !m_checklist->matches(name->piece, *bytes))
        co_return Http::HttpResponse { notHereStatus, {}, "the piece has turned bad here" };
    auto turn = m_uploads.reserve(bytes->size(), m_clock.now());
    if (!turn)
        co_return Http::HttpResponse { 503, {}, "too many pieces are to be sent" };
    co_await Http::sleepFor(m_context, std::chrono::duration_cast<std::chrono::milliseconds>(*turn));
    co_return Http::HttpResponse { 200, { { "Content-Type", "application/octet-stream" } }, std::move(*bytes) };
}

} // namespace Lavenderloft::Staging
