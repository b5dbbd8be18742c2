#pragma once

#include "Base/Clock.h"
#include "Base/RandomSource.h"
#include "Fleet/FleetState.h"
#include "Fleet/NodeSettings.h"
#include "Http/KeptClient.h"
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

// Watches the engine on this VM, tells routers its load, and brings the declared weights to it. Gives pieces
// that lie at the engine to other agents. Runs on one event loop.
class StagingNode {
public:
    StagingNode(boost::asio::io_context&, const Fleet::NodeSettings&, const Fleet::FleetState&, const EngineProtocol&, Peering::PeeringNode&, const Base::Clock&, Base::RandomSource&);

    void start();

    // Answers another agent that asks for the manifest of a version.
    Http::HttpResponse handleManifestRequest(const Http::HttpRequest&) const;

    // Answers another agent that asks for a piece.
    boost::asio::awaitable<Http::HttpResponse> handlePieceRequest(Http::HttpRequest);

private:
    // The version of a model that the engine should hold.
    struct Wanted {
        std::string model;
        Fleet::DeclaredWeights declared;
        unsigned layers = 0;
        unsigned pieces = 0;
        Http::Endpoint origin;
    };

    using ClientsByAddress = std::map<std::string, std::unique_ptr<Http::KeptClient>>;

    boost::asio::awaitable<void> watchEngine();
    boost::asio::awaitable<void> keepWeights();
    boost::asio::awaitable<void> bring(const Wanted&);
    boost::asio::awaitable<bool> prepareChecklist(const Wanted&);
    boost::asio::awaitable<std::optional<PieceManifest>> fetchManifest(const Wanted&);
    boost::asio::awaitable<std::optional<PieceManifest>> askForManifest(const Wanted&, const std::string& address);
    boost::asio::awaitable<void> checkStoredPieces();
    boost::asio::awaitable<void> fetchMissing(const Wanted&);
    boost::asio::awaitable<void> fetchPieces(const Wanted&, std::shared_ptr<std::vector<unsigned>> queue, std::shared_ptr<unsigned> running);
    boost::asio::awaitable<bool> fetchPiece(const Wanted&, unsigned piece, ClientsByAddress&);
    boost::asio::awaitable<std::optional<std::string>> askSource(const Wanted&, unsigned piece, const Queries::PieceSource&, ClientsByAddress&);
    boost::asio::awaitable<bool> storePiece(const Wanted&, unsigned piece, std::string bytes);
    std::vector<unsigned> missingByDuty(const Wanted&);
    std::vector<Queries::SourceAgent> otherAgents(const Wanted&) const;
    SourceOutcome judge(const Base::Result<Http::HttpResponse, Http::HttpError>&, unsigned piece) const;
    bool mayGive(uint64_t version, unsigned piece) const;
    bool mayGet(const PieceName&);
    boost::asio::awaitable<void> load(const Wanted&);
    boost::asio::awaitable<void> waitForRunning();
    boost::asio::awaitable<std::optional<std::string>> readStored(Http::KeptClient&, const std::string& model, unsigned piece);

    std::optional<Wanted> findWanted() const;
    bool engineHolds(const Wanted&) const;
    bool isStillWanted(const Wanted&) const;
    uint64_t wholeVersion() const;
    void report();
    unsigned freePlaces() const;
    void noteEngineStart();
    std::optional<double> coldRate() const;
    std::shared_ptr<const Fleet::KnownTarget> findOwnTarget(const Fleet::FleetSnapshot&) const;
    unsigned grantsToDeal(unsigned free);
    std::optional<std::chrono::milliseconds> timeToCut() const;
    void planTurn(const Wanted&);
    // Whether the pieces are left to engines that need them sooner.
    bool holdsBack(const Wanted&) const;
    boost::asio::awaitable<void> waitForTurn(const Wanted&);

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
    // Start of the engine for which the checklist was made.
    uint64_t m_checkedEngineStart = 0;
    // Routers are told to send nothing: the engine is about to load.
    bool m_paused = false;
    // Free places at the report before: a place that a router has just given back is not dealt to others at
    // once, as that router may use it again.
    unsigned m_formerlyFree = 0;
    // How the engine beside this agent will load what is being fetched; nothing if it serves nothing meanwhile.
    std::optional<Queries::LoadPlan> m_plan;
    // Start that the engine last named, and until when one that started anew is taken for cold.
    uint64_t m_engineStart = 0;
    Base::TimePoint m_coldUntil {};
    ColdStartLimiter m_coldGrants;
    PieceSources m_sources;
    UploadPacer m_uploads;
};

} // namespace Lavenderloft::Staging
