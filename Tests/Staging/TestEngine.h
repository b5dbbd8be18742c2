#pragma once

#include "Base/Digest.h"
#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Fleet/FleetState.h"
#include "Fleet/Publication.h"
#include "Http/NodeServer.h"
#include "Http/Sleep.h"
#include "Staging/StagingNode.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace Lavenderloft::Staging {

// The system's clock, which a test may set forward, as if the process had been stopped for that time.
class SkippingClock final : public Base::Clock {
public:
    Base::TimePoint now() const override { return m_clock.now() + m_skipped; }
    Base::WallTime wallTime() const override { return m_clock.wallTime() + m_skipped; }
    void skip(Base::Duration duration) { m_skipped += duration; }

private:
    Base::SystemClock m_clock;
    Base::Duration m_skipped {};
};

// An engine and its weight origin on loopback, with a protocol of plain paths. Reports come from the object itself.
class TestEngine final : public EngineProtocol {
public:
    static constexpr unsigned pieceCount = 6;
    static constexpr unsigned layerCount = 16;

    explicit TestEngine(boost::asio::io_context& context)
        : m_context(context)
        , m_server(startServer(context))
        , m_origin(startServer(context))
    {
        report.startedAt = 100;
        report.acceptedLoads = 0;
    }

    bool holdsAllPieces() const
    {
        for (unsigned piece = 0; piece < pieceCount; ++piece) {
            auto found = stored.find(piece);
            if (found == stored.end() || found->second != publishedContentOf(piece))
                return false;
        }
        return true;
    }

    static std::string contentOf(unsigned piece) { return "content of piece " + std::to_string(piece); }
    std::string publishedContentOf(unsigned piece) const { return contentOf(piece) + edition; }
    std::string contentOfVersion(unsigned piece, uint64_t version) const
    {
        auto found = editions.find(version);
        return found == editions.end() ? publishedContentOf(piece) : contentOf(piece) + found->second;
    }

    Http::Endpoint endpoint() const { return { "127.0.0.1", m_server->port() }; }
    Http::Endpoint origin() const { return { "127.0.0.1", m_origin->port() }; }
    size_t openOriginConnections() const { return m_origin->openConnections(); }

    // The engine loses its weights and its pieces.
    void restart()
    {
        ++report.startedAt;
        report.layers.reset();
        report.acceptedLoads = 0;
        badLayers.clear();
        stored.clear();
    }

    // Accepts a load request of another process.
    void acceptOtherLoad(uint64_t version) { load({ 0, layerCount, version }, std::nullopt); }

    Http::HttpRequest reportRequest() const override { return makeRequest("/report"); }
    Base::Result<EngineReport, EngineError> readReport(const Http::HttpResponse&) const override { return report; }
    Http::HttpRequest manifestRequest(const std::string&, uint64_t version) const override { return makeRequest("/manifest/" + std::to_string(version)); }

    Base::Result<PieceManifest, EngineError> readManifest(const Http::HttpResponse& response) const override
    {
        if (response.status != 200)
            return EngineError { EngineErrorKind::NotFound, "no such version", "declare it" };
        PieceManifest manifest { "m", std::stoul(response.body), {} };
        for (unsigned piece = 0; piece < pieceCount; ++piece)
            manifest.digests.push_back(Base::sha256(contentOfVersion(piece, manifest.version)));
        if (!m_manifestsRead++ && corruptManifest)
            corruptManifest(manifest);
        return manifest;
    }

    Http::HttpRequest pieceRequest(const std::string&, uint64_t, unsigned piece) const override { return makeRequest("/origin/" + std::to_string(piece)); }
    Http::HttpRequest storePieceRequest(const std::string&, unsigned piece, std::string bytes) const override { return makeRequest("/store/" + std::to_string(piece), std::move(bytes)); }
    Http::HttpRequest storedPieceRequest(const std::string&, unsigned piece) const override { return makeRequest("/stored/" + std::to_string(piece)); }
    Http::HttpRequest loadRequest(const LoadRequest& load) const override
    {
        loadModes.push_back(load.mode);
        auto expected = load.acceptedBefore ? std::to_string(*load.acceptedBefore) : "any";
        return makeRequest("/load/" + std::to_string(load.layers.version), std::to_string(load.layers.from) + " " + std::to_string(load.layers.to) + " " + expected);
    }
    LoadResponse readLoadResponse(const Http::HttpResponse& response) const override
    {
        if (response.status == 202)
            return LoadResponse::Started;
        return response.status == 200 ? LoadResponse::AlreadyLoaded : LoadResponse::Conflict;
    }

    EngineReport report;
    std::map<unsigned, std::string> stored;
    // Makes the pieces of the published version differ from those of the versions before.
    std::string edition;
    // Editions of versions whose pieces differ from the published ones.
    std::map<uint64_t, std::string> editions;
    // Layers that are loaded from missing or damaged pieces, or from pieces of another version.
    std::set<unsigned> badLayers;
    // This many load requests are accepted after this time only. All other requests are answered meanwhile.
    unsigned heldLoads = 0;
    std::chrono::milliseconds loadHold { 0 };
    // Called when a load request arrives.
    std::function<void()> onLoadRequest;
    // An accepted load takes this time. The engine is busy meanwhile and reports the layers that it held before.
    std::chrono::milliseconds loadDuration { 0 };
    // The modes of the load requests sent so far.
    mutable std::vector<LoadMode> loadModes;
    // Load requests that have arrived.
    unsigned loadRequests = 0;
    // This many reads of stored pieces fail.
    unsigned failedReads = 0;
    // Time after which the engine answers the request of a report.
    std::chrono::milliseconds reportDelay { 0 };
    // Called when a load request is about to be accepted.
    std::function<void()> onLoadAccepted;
    unsigned loads = 0;
    // Load requests that were accepted while a piece was missing or damaged.
    unsigned brokenLoads = 0;
    // Called before each response to the request of a stored piece.
    std::function<void(unsigned piece)> onStoredPieceRead;
    // The engine closes the connection after the next response.
    bool closesConnection = false;
    std::vector<uint64_t> loadedVersions;
    // Reports sent so far.
    unsigned reports = 0;
    // Requests of pieces at the origin.
    std::map<unsigned, unsigned> fetches;
    // The first response of the origin for this piece is corrupt.
    std::optional<unsigned> corruptPiece;
    // Changes the first manifest that the origin sends.
    std::function<void(PieceManifest&)> corruptManifest;
    // Manifests that the origin has sent.
    unsigned manifestsRead() const { return m_manifestsRead; }
    // The origin does not deliver this piece.
    std::optional<unsigned> missingPiece;
    // Time after which the origin delivers this piece.
    std::optional<unsigned> slowPiece;
    std::chrono::milliseconds slowPieceDelay { 0 };

private:
    std::shared_ptr<Http::NodeServer> startServer(boost::asio::io_context& context)
    {
        return Http::NodeServer::start(context, { "127.0.0.1", 0 }, [this](Http::HttpRequest request) -> boost::asio::awaitable<Http::HttpResponse> {
            if (request.target.starts_with("/load/"))
                co_await holdLoad();
            if (slowPiece && request.target == "/origin/" + std::to_string(*slowPiece))
                co_await Http::sleepFor(m_context, slowPieceDelay);
            if (request.target == "/report")
                co_await Http::sleepFor(m_context, reportDelay);
            auto response = respond(request);
            co_return response;
        });
    }

    boost::asio::awaitable<void> holdLoad()
    {
        ++loadRequests;
        if (onLoadRequest)
            onLoadRequest();
        if (heldLoads == 0)
            co_return;
        --heldLoads;
        co_await Http::sleepFor(m_context, loadHold);
    }

    static Http::HttpRequest makeRequest(std::string target, std::string body = {})
    {
        return { body.empty() ? "GET" : "PUT", std::move(target), {}, std::move(body) };
    }

    Http::HttpResponse respond(const Http::HttpRequest& request)
    {
        auto slash = request.target.rfind('/');
        auto action = request.target.substr(0, slash);
        if (action.empty()) {
            ++reports;
            return { 200, {}, "report" };
        }
        auto number = static_cast<unsigned>(std::stoul(request.target.substr(slash + 1)));
        if (action == "/manifest")
            return { 200, {}, std::to_string(number) };
        if (action == "/origin" && number == missingPiece)
            return { 503, {}, "" };
        if (action == "/origin")
            return { 200, {}, fetch(number) };
        if (action == "/store")
            return store(number, request.body);
        if (action == "/stored")
            return readStored(number);
        if (action == "/load")
            return loadAsRequested(number, request.body);
        return { 400, {}, "" };
    }

    std::string fetch(unsigned piece)
    {
        bool isCorrupt = !fetches[piece]++ && piece == corruptPiece;
        return isCorrupt ? "corrupt" : publishedContentOf(piece);
    }

    Http::HttpResponse readStored(unsigned piece)
    {
        if (failedReads > 0) {
            --failedReads;
            return { 503, {}, "" };
        }
        auto response = stored.contains(piece) ? Http::HttpResponse { 200, {}, stored[piece] } : Http::HttpResponse { 404, {}, "" };
        if (onStoredPieceRead)
            onStoredPieceRead(piece);
        if (closesConnection)
            response.headers.push_back({ "Connection", "close" });
        closesConnection = false;
        return response;
    }

    Http::HttpResponse store(unsigned piece, const std::string& bytes)
    {
        stored[piece] = bytes;
        return { 200, {}, "" };
    }

    Http::HttpResponse loadAsRequested(uint64_t version, const std::string& text)
    {
        std::istringstream input(text);
        Fleet::HeldLayers layers { 0, 0, version };
        std::string expected;
        input >> layers.from >> layers.to >> expected;
        return load(layers, expected == "any" ? std::nullopt : std::optional<uint64_t>(std::stoul(expected)));
    }

    Http::HttpResponse load(const Fleet::HeldLayers& layers, const std::optional<uint64_t>& expected)
    {
        if (expected && expected != report.acceptedLoads)
            return { 409, {}, "" };
        if (report.layers == layers || m_loading == layers)
            return { 200, {}, "" };
        if (auto accepted = std::exchange(onLoadAccepted, nullptr))
            accepted();
        ++loads;
        ++*report.acceptedLoads;
        loadedVersions.push_back(layers.version);
        bool isBroken = false;
        for (unsigned layer = 0; layer < layerCount; ++layer)
            isBroken = loadLayer(layer, layers) || isBroken;
        if (isBroken)
            ++brokenLoads;
        finishLoad(layers);
        return { 202, {}, "" };
    }

    void finishLoad(const Fleet::HeldLayers& layers)
    {
        if (loadDuration == std::chrono::milliseconds(0)) {
            report.layers = layers;
            return;
        }
        m_loading = layers;
        report.busy = true;
        boost::asio::co_spawn(m_context, finishLoadLater(layers), boost::asio::detached);
    }

    boost::asio::awaitable<void> finishLoadLater(Fleet::HeldLayers layers)
    {
        co_await Http::sleepFor(m_context, loadDuration);
        if (m_loading != layers)
            co_return;
        m_loading.reset();
        report.layers = layers;
        report.busy = false;
    }

    // Layers of the same version that are held already stay as they are. Returns whether a bad layer was loaded.
    bool loadLayer(unsigned layer, const Fleet::HeldLayers& requested)
    {
        bool isRequested = requested.from <= layer && layer < requested.to;
        auto& held = report.layers;
        bool isHeld = held && held->version == requested.version && held->from <= layer && layer < held->to;
        if (isRequested && isHeld)
            return false;
        badLayers.erase(layer);
        bool isBad = isRequested && !hasPiecesOf(layer, requested.version);
        if (isBad)
            badLayers.insert(layer);
        return isBad;
    }

    bool hasPiecesOf(unsigned layer, uint64_t version) const
    {
        auto from = layer * pieceCount / layerCount;
        auto to = ((layer + 1) * pieceCount + layerCount - 1) / layerCount;
        for (auto piece = from; piece < to; ++piece) {
            auto found = stored.find(piece);
            if (found == stored.end() || found->second != contentOfVersion(piece, version))
                return false;
        }
        return true;
    }

    boost::asio::io_context& m_context;
    std::shared_ptr<Http::NodeServer> m_server;
    std::shared_ptr<Http::NodeServer> m_origin;
    mutable unsigned m_manifestsRead = 0;
    // The layers that are being loaded.
    std::optional<Fleet::HeldLayers> m_loading;
};

struct NoPublications final : Fleet::PublicationDecoder {
    Fleet::Publication decode(const Fleet::PublishedItem&) const override { return Fleet::Unrelated {}; }
    bool isTargetKey(std::string_view) const override { return false; }
};

// A staging node on loopback beside a test engine. The only agent of its service.
class TestStaging {
public:
    TestStaging()
        : engine(context)
        , m_settings(makeSettings(engine))
        , m_merger(m_fleet, m_decoder, clock)
        , m_peering(context, m_settings, m_peers, m_merger, clock, m_stalls, false)
        , node(context, m_settings, m_fleet, engine, m_peering, clock, m_random)
    {
    }

    // Declares a version, which replaces all earlier declarations.
    void declare(uint64_t version)
    {
        auto snapshot = std::make_shared<Fleet::FleetSnapshot>();
        snapshot->configuration = makeConfiguration();
        snapshot->weights["m"] = { { version, clock.now() } };
        m_fleet.withContents([&](Fleet::FleetState::Contents& contents) { contents.snapshot = snapshot; });
    }

    // Declares two versions, the second of them now. The origin needs a second for a version.
    void declareInSequence(uint64_t first, uint64_t second, std::chrono::milliseconds interval)
    {
        auto configuration = std::make_shared<Fleet::Configuration>(*makeConfiguration());
        constexpr uint64_t pieceBytes = 1000;
        configuration->services["engines"].weights->pieceBytes = pieceBytes;
        configuration->services["origin"].originBitsPerSecond = 8 * pieceBytes * TestEngine::pieceCount;
        auto snapshot = std::make_shared<Fleet::FleetSnapshot>();
        snapshot->configuration = configuration;
        snapshot->weights["m"] = { { first, clock.now() - interval }, { second, clock.now() } };
        m_fleet.withContents([&](Fleet::FleetState::Contents& contents) { contents.snapshot = snapshot; });
    }

    // Runs the event loop until the condition holds. Returns false if it does not within the time that ends a hang.
    bool runUntil(const std::function<bool()>& condition)
    {
        constexpr std::chrono::seconds hangTimeout { 20 };
        auto until = clock.now() + hangTimeout;
        while (!condition() && clock.now() < until)
            context.run_one_for(std::chrono::milliseconds(50));
        return condition();
    }

    // Runs until the agent has loaded weights this many times and has learned of it by the engine's reports.
    bool runUntilLoaded(unsigned loads)
    {
        constexpr unsigned reportsToSettle = 5;
        if (!runUntil([&] { return engine.loads >= loads; }))
            return false;
        auto settledAt = engine.reports + reportsToSettle;
        return runUntil([&] { return engine.reports >= settledAt; });
    }

    Http::HttpResponse requestPiece(const std::string& path)
    {
        std::optional<Http::HttpResponse> response;
        Http::HttpRequest request;
        request.target = path;
        boost::asio::co_spawn(context, node.handlePieceRequest(std::move(request)), [&](std::exception_ptr, Http::HttpResponse received) { response = std::move(received); });
        if (!runUntil([&] { return response.has_value(); }))
            throw std::runtime_error("no response to " + path);
        return *response;
    }

    boost::asio::io_context context { 1 };
    TestEngine engine;
    SkippingClock clock;

private:
    static Fleet::NodeSettings makeSettings(const TestEngine& engine)
    {
        Fleet::NodeSettings settings;
        settings.address = "127.0.0.1";
        settings.region = "north";
        settings.localEngine = engine.endpoint();
        settings.localService = "engines";
        return settings;
    }

    std::shared_ptr<const Fleet::Configuration> makeConfiguration() const
    {
        Fleet::Service engines;
        engines.weights = Fleet::WeightLayout { TestEngine::pieceCount, TestEngine::layerCount, { "m" } };
        Fleet::Service origin;
        origin.origin = engine.origin();
        auto configuration = std::make_shared<Fleet::Configuration>();
        configuration->services = { { "engines", engines }, { "origin", origin } };
        return configuration;
    }

    Base::StallMonitor m_stalls { clock, std::chrono::milliseconds(250) };
    Base::SeededRandom m_random { 7 };
    Fleet::NodeSettings m_settings;
    Fleet::FleetState m_fleet;
    NoPublications m_decoder;
    Peering::ItemMerger m_merger;
    Peering::PeerTable m_peers;
    Peering::PeeringNode m_peering;

public:
    StagingNode node;
};

} // namespace Lavenderloft::Staging
