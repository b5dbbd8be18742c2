#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Http/PersistentHttpClient.h"
#include "Peering/PeeringNode.h"
#include "Staging/ColdStartLimiter.h"
#include "Staging/EngineProtocol.h"
#include "Staging/PieceChecklist.h"
#include "Staging/PieceName.h"
#include "Staging/PieceSources.h"
#include "Staging/Queries/ChooseSource.h"
#include "Staging/Queries/PlanLoad.h"
#include "Staging/UploadPacer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Lavenderloft::Staging {

// Monitors the engine on this VM, reports its load to the routers, and stages and loads the declared weights. Serves
// the pieces that are stored at the engine to other agents. Runs on one event loop.
class StagingNode {
public:
    StagingNode(boost::asio::io_context&, const Fleet::NodeSettings&, const Fleet::FleetState&, const EngineProtocol&, Peering::PeeringNode&, const Base::Clock&, Base::RandomSource&);

    void start();

    // Serves the manifest of a version to another agent.
    Http::HttpResponse handleManifestRequest(const Http::HttpRequest&) const;

    // Serves a piece to another agent.
    boost::asio::awaitable<Http::HttpResponse> handlePieceRequest(Http::HttpRequest);

private:
    // The model version that the engine should have loaded.
    struct DesiredWeights {
        std::string model;
        Fleet::DeclaredWeights declared;
        unsigned layers = 0;
        unsigned pieces = 0;
        Http::Endpoint origin;
    };

    using ClientsByAddress = std::map<std::string, std::unique_ptr<Http::PersistentHttpClient>>;

    boost::asio::awaitable<void> pollEngine();
    boost::asio::awaitable<void> maintainWeights();
    boost::asio::awaitable<void> stageAndLoad(const DesiredWeights&);
    boost::asio::awaitable<bool> prepareChecklist(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchManifest(const DesiredWeights&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchManifestFromAgent(const DesiredWeights&, const std::string& address);
    boost::asio::awaitable<void> verifyStoredPieces();
    boost::asio::awaitable<void> fetchMissing(const DesiredWeights&);
    boost::asio::awaitable<void> fetchPieces(const DesiredWeights&, std::shared_ptr<std::vector<unsigned>> queue, std::shared_ptr<unsigned> running);
    boost::asio::awaitable<bool> fetchPiece(const DesiredWeights&, unsigned piece, ClientsByAddress&);
    boost::asio::awaitable<std::optional<std::string>> fetchFromSource(const DesiredWeights&, unsigned piece, const Queries::PieceSource&, ClientsByAddress&);
    boost::asio::awaitable<bool> storePiece(const DesiredWeights&, unsigned piece, std::string bytes);
    std::vector<unsigned> missingInFetchOrder(const DesiredWeights&);
    std::vector<Queries::SourceAgent> otherAgents(const DesiredWeights&) const;
    SourceOutcome classifyResponse(const Base::Result<Http::HttpResponse, Http::HttpError>&, unsigned piece) const;
    bool canServePiece(uint64_t version, unsigned piece) const;
    bool isExpectingPiece(const PieceName&);
    boost::asio::awaitable<void> load(const DesiredWeights&);
    boost::asio::awaitable<void> waitForRunningRequests();
    boost::asio::awaitable<std::optional<std::string>> readStoredPiece(Http::PersistentHttpClient&, const std::string& model, unsigned piece);

    std::optional<DesiredWeights> findDesiredWeights() const;
    bool engineHasLoaded(const DesiredWeights&) const;
    bool isStillDesired(const DesiredWeights&) const;
    uint64_t wholeVersion() const;
    void reportLoad();
    void reportEnd();
    std::optional<std::chrono::milliseconds> timeSinceEnd() const;
    unsigned freeSlots() const;
    void detectEngineStart();
    std::optional<double> coldRate() const;
    std::shared_ptr<const Fleet::KnownTarget> findOwnTarget(const Fleet::FleetSnapshot&) const;
    unsigned grantableSlots(unsigned free);
    std::optional<std::chrono::milliseconds> timeUntilAbort() const;
    void updateLoadPlan(const DesiredWeights&);
    // Whether fetching is deferred in favour of engines that need the pieces sooner.
    bool isFetchDeferred(const DesiredWeights&) const;
    boost::asio::awaitable<void> waitForLoadStart(const DesiredWeights&);

    boost::asio::io_context& m_context;
    const Fleet::NodeSettings& m_settings;
    const Fleet::FleetState& m_fleet;
    const EngineProtocol& m_protocol;
    Peering::PeeringNode& m_peering;
    const Base::Clock& m_clock;
    Base::RandomSource& m_random;
    std::optional<EngineReport> m_engine;
    std::optional<PieceChecklist> m_checklist;
    std::optional<Base::TimePoint> m_manifestFailedAt;
    // EngineReport::startedAt of the engine that the checklist describes.
    uint64_t m_checkedEngineStart = 0;
    // Reported to the routers, which then send no requests: the engine is about to load.
    bool m_paused = false;
    // Free slots at the previous report. A slot is granted only if it was free then too, because the router that has
    // just released it may use it again.
    unsigned m_previousFreeSlots = 0;
    // How the engine will load the weights that are being staged; empty if it serves none meanwhile.
    std::optional<Queries::LoadPlan> m_plan;
    // The last EngineReport::startedAt.
    uint64_t m_engineStart = 0;
    // When the engine was last seen to end or restart.
    Base::TimePoint m_engineEndedAt {};
    // An engine that restarted counts as cold until this time.
    Base::TimePoint m_coldUntil {};
    ColdStartLimiter m_coldStartLimiter;
    PieceSources m_sources;
    UploadPacer m_uploads;
};

} // namespace Lavenderloft::Staging
