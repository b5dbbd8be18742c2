#include "Staging/StagingNode.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Observability/Log.h"
#include "Staging/Events.h"
#include "Staging/Queries/PlanLoad.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds reportInterval = 100ms;
    constexpr std::chrono::milliseconds engineTimeout = 1500ms;
    constexpr std::chrono::milliseconds checkInterval = 100ms;
    // Waited before the next attempt at a piece that no source gave.
    constexpr std::chrono::milliseconds fetchRetryDelay = 120ms;
    // A piece may queue behind others on the link of the agent that has it.
    constexpr std::chrono::milliseconds agentTimeout = 2500ms;
    constexpr std::chrono::milliseconds originTimeout = 5000ms;
    constexpr std::chrono::milliseconds connectionRetryDelay = 500ms;
    // Pieces that are fetched at the same time.
    constexpr unsigned parallelFetches = 4;
    // Time for the routers to hear that the engine takes nothing new.
    constexpr std::chrono::milliseconds pauseNotice = 60ms;
    // An order that shows no effect by then is given again.
    constexpr std::chrono::seconds loadTimeout = 8s;
    constexpr std::chrono::milliseconds loadPollInterval = 100ms;

    // The parts of "/piece/MODEL/VERSION/INDEX".
    struct PieceName {
        std::string model;
        uint64_t version = 0;
        unsigned piece = 0;
    };

    std::string piecePathOf(const std::string& model, uint64_t version, unsigned piece)
    {
        return std::string(StagingNode::piecePath) + model + "/" + std::to_string(version) + "/" + std::to_string(piece);
    }

    std::optional<PieceName> parsePiecePath(std::string_view path)
    {
        path.remove_prefix(std::min(StagingNode::piecePath.size(), path.size()));
        auto lastSlash = path.rfind('/');
        if (lastSlash == std::string_view::npos || lastSlash == 0)
            return std::nullopt;
        auto middleSlash = path.rfind('/', lastSlash - 1);
        if (middleSlash == std::string_view::npos)
            return std::nullopt;
        PieceName name;
        name.model = path.substr(0, middleSlash);
        auto version = path.substr(middleSlash + 1, lastSlash - middleSlash - 1);
        auto piece = path.substr(lastSlash + 1);
        auto versionError = std::from_chars(version.data(), version.data() + version.size(), name.version).ec;
        auto pieceError = std::from_chars(piece.data(), piece.data() + piece.size(), name.piece).ec;
        if (versionError != std::errc() || pieceError != std::errc())
            return std::nullopt;
        return name;
    }

} // namespace

StagingNode::StagingNode(asio::io_context& context, const Fleet::NodeSettings& settings, const Fleet::FleetState& fleet, const EngineProtocol& protocol, Peering::PeeringNode& peering, const Base::Clock& clock)
    : m_context(context)
    , m_settings(settings)
    , m_fleet(fleet)
    , m_protocol(protocol)
    , m_peering(peering)
    , m_clock(clock)
{
}

void StagingNode::start()
{
    asio::co_spawn(
        m_context, [this] { return watchEngine(); }, asio::detached);
    asio::co_spawn(
        m_context, [this] { return keepWeights(); }, asio::detached);
}

asio::awaitable<void> StagingNode::sleepFor(std::chrono::milliseconds duration)
{
    boost::system::error_code ignored;
    asio::steady_timer timer(m_context, duration);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
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
        if (report.has_value() != wasReached) {
            wasReached = report.has_value();
            Observability::logEvent(wasReached ? Events::engineReached : Events::engineLost, { { "problem", problem }, { "whole_version", report ? wholeVersion() : 0 } });
        }
        m_engine = report;
        if (m_engine)
            this->report();
        co_await sleepFor(reportInterval);
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
    m_peering.sendLoad(load);
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
        co_await sleepFor(checkInterval);
    }
}

asio::awaitable<void> StagingNode::bring(const Wanted& wanted)
{
    bool isPrepared = co_await prepareChecklist(wanted);
    if (!isPrepared)
        co_return;
    if (!m_checklist->isComplete()) {
        co_await fetchMissing(wanted);
        if (!m_checklist || !m_checklist->isComplete())
            co_return;
    }
    Observability::logEvent(Events::stagingComplete, { { "model", wanted.model }, { "version", wanted.declared.version } });
    auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
    // An engine that serves nothing has no turn to wait for.
    if (wholeVersion() > 0) {
        auto turn = Queries::planLoad(*snapshot, m_settings, wanted.declared);
        while (m_clock.now() < turn && isStillWanted(wanted))
            co_await sleepFor(checkInterval);
    }
    if (!isStillWanted(wanted))
        co_return;
    co_await checkStoredPieces();
    if (m_checklist->isComplete())
        co_await load(wanted);
}

asio::awaitable<bool> StagingNode::prepareChecklist(const Wanted& wanted)
{
    bool isCurrent = m_checklist && m_checklist->manifest().version == wanted.declared.version && m_checkedEngineStart == m_engine->startedAt;
    if (isCurrent)
        co_return true;
    bool hadManifest = m_checklist && m_checklist->manifest().version == wanted.declared.version;
    m_checkedEngineStart = m_engine->startedAt;
    if (hadManifest) {
        m_checklist.emplace(m_checklist->manifest());
    } else {
        Http::KeptClient origin(m_context.get_executor(), wanted.origin);
        auto answer = co_await origin.call(m_protocol.manifestRequest(wanted.model, wanted.declared.version), originTimeout);
        if (!Base::succeeded(answer)) {
            Observability::logEvent(Events::pieceUnavailable, { { "source", "origin" }, { "problem", Base::errorOf(answer).describe() } });
            co_await sleepFor(connectionRetryDelay);
            co_return false;
        }
        auto manifest = m_protocol.readManifest(Base::valueOf(answer));
        if (!Base::succeeded(manifest)) {
            Observability::logEvent(Events::pieceUnavailable, { { "source", "origin" }, { "problem", Base::errorOf(manifest).describe() } });
            co_await sleepFor(connectionRetryDelay);
            co_return false;
        }
        m_checklist.emplace(Base::valueOf(manifest));
    }
    Observability::logEvent(Events::stagingStarted, { { "model", wanted.model }, { "version", wanted.declared.version }, { "pieces", m_checklist->pieceCount() }, { "held_version", wholeVersion() } });
    co_await checkStoredPieces();
    co_return true;
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

asio::awaitable<void> StagingNode::fetchMissing(const Wanted& wanted)
{
    auto queue = std::make_shared<std::vector<unsigned>>(m_checklist->missing());
    auto running = std::make_shared<unsigned>(parallelFetches);
    for (unsigned i = 0; i < parallelFetches; ++i)
        asio::co_spawn(m_context, fetchPieces(wanted, queue, running), asio::detached);
    while (*running > 0)
        co_await sleepFor(checkInterval / 2);
}

asio::awaitable<void> StagingNode::fetchPieces(const Wanted& wantedNow, std::shared_ptr<std::vector<unsigned>> queue, std::shared_ptr<unsigned> running)
{
    auto wanted = wantedNow;
    std::map<std::string, std::unique_ptr<Http::KeptClient>> clients;
    unsigned attempt = 0;
    while (!queue->empty() && isStillWanted(wanted) && m_engine) {
        // Pieces are taken from both ends at random places, so that agents do not all ask for the same one.
        auto index = (attempt * 7 + queue->size() / 2) % queue->size();
        auto piece = (*queue)[index];
        queue->erase(queue->begin() + static_cast<std::ptrdiff_t>(index));
        bool fetched = co_await fetchPiece(wanted, piece, clients);
        if (!fetched)
            queue->push_back(piece);
        ++attempt;
    }
    --*running;
}

asio::awaitable<bool> StagingNode::fetchPiece(const Wanted& wanted, unsigned piece, std::map<std::string, std::unique_ptr<Http::KeptClient>>& clients)
{
    constexpr unsigned maximumAttempts = 12;
    for (unsigned attempt = 0; attempt < maximumAttempts && isStillWanted(wanted); ++attempt) {
        auto snapshot = Fleet::Queries::currentSnapshot(m_fleet);
        auto agents = Queries::listSourceAgents(*snapshot, m_settings, wanted.declared.version);
        auto source = Queries::chooseSource(agents, m_settings, std::to_string(wanted.declared.version), piece, attempt);
        auto* agent = std::get_if<Queries::FromAgent>(&source);
        auto endpoint = agent ? Http::Endpoint { agent->address, m_settings.firstPeerPort } : wanted.origin;
        auto& client = clients[endpoint.toString()];
        if (!client)
            client = std::make_unique<Http::KeptClient>(m_context.get_executor(), endpoint);
        Http::HttpRequest request;
        if (agent)
            request.target = piecePathOf(wanted.model, wanted.declared.version, piece);
        else
            request = m_protocol.pieceRequest(wanted.model, wanted.declared.version, piece);
        auto answer = co_await client->call(std::move(request), agent ? agentTimeout : originTimeout);
        if (!Base::succeeded(answer) || Base::valueOf(answer).status != 200) {
            if (attempt > 0)
                Observability::logEvent(Events::pieceUnavailable, { { "piece", piece }, { "source", endpoint.toString() }, { "attempt", attempt }, { "problem", Base::succeeded(answer) ? std::to_string(Base::valueOf(answer).status) : Base::errorOf(answer).describe() } });
            co_await sleepFor(fetchRetryDelay);
            continue;
        }
        auto bytes = Base::takeValue(std::move(answer)).body;
        if (!m_checklist->matches(piece, bytes)) {
            Observability::logEvent(Events::pieceRejected, { { "piece", piece }, { "version", wanted.declared.version }, { "source", endpoint.toString() } });
            continue;
        }
        Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
        auto stored = co_await engine.call(m_protocol.storePieceRequest(wanted.model, piece, std::move(bytes)), engineTimeout);
        if (Base::succeeded(stored) && Base::valueOf(stored).status / 100 == 2) {
            m_checklist->markPresent(piece);
            co_return true;
        }
        Observability::logEvent(Events::pieceUnavailable, { { "piece", piece }, { "source", "engine" }, { "problem", Base::succeeded(stored) ? std::to_string(Base::valueOf(stored).status) : Base::errorOf(stored).describe() } });
        co_await sleepFor(fetchRetryDelay);
    }
    co_return false;
}

asio::awaitable<void> StagingNode::load(const Wanted& wanted)
{
    m_paused = true;
    report();
    co_await sleepFor(pauseNotice);
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto answer = co_await engine.call(m_protocol.loadRequest(wanted.model, wanted.declared.version), engineTimeout);
    auto accepted = Base::succeeded(answer) ? m_protocol.readLoadAnswer(Base::valueOf(answer)) : LoadAnswer::Refused;
    Observability::logEvent(Events::loadOrdered, { { "model", wanted.model }, { "version", wanted.declared.version }, { "status", Base::succeeded(answer) ? Base::valueOf(answer).status : 0 }, { "problem", Base::succeeded(answer) ? std::string() : Base::errorOf(answer).describe() } });
    // A missing answer may mean that the order was accepted; the report tells.
    bool mayLoad = accepted != LoadAnswer::Conflict;
    auto until = m_clock.now() + (mayLoad ? loadTimeout : std::chrono::seconds(0));
    while (m_clock.now() < until && m_engine && !engineHolds(wanted) && isStillWanted(wanted))
        co_await sleepFor(loadPollInterval);
    m_paused = false;
    if (engineHolds(wanted))
        Observability::logEvent(Events::weightsLoaded, { { "model", wanted.model }, { "version", wanted.declared.version } });
}

asio::awaitable<Http::HttpResponse> StagingNode::answerPiece(Http::HttpRequest request)
{
    auto name = parsePiecePath(request.target);
    if (!name)
        co_return Http::HttpResponse { 400, {}, "the path must be /piece/MODEL/VERSION/INDEX" };
    bool isChecked = m_checklist && m_checklist->manifest().version == name->version && name->piece < m_checklist->pieceCount() && m_checklist->isPresent(name->piece);
    // An engine that started with its weights holds pieces that this agent has no manifest of.
    if (!isChecked && wholeVersion() != name->version)
        co_return Http::HttpResponse { 404, {}, "the piece is not here" };
    Http::KeptClient engine(m_context.get_executor(), *m_settings.localEngine);
    auto bytes = co_await readStored(engine, name->model, name->piece);
    if (!bytes)
        co_return Http::HttpResponse { 404, {}, "the engine does not hold the piece" };
    if (m_checklist && m_checklist->manifest().version == name->version && !m_checklist->matches(name->piece, *bytes))
        co_return Http::HttpResponse { 404, {}, "the piece has turned bad here" };
    co_return Http::HttpResponse { 200, { { "Content-Type", "application/octet-stream" } }, std::move(*bytes) };
}

} // namespace Lavenderloft::Staging
