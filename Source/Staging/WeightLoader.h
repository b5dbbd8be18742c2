#pragma once

#include "Staging/EngineMonitor.h"
#include "Staging/EnginePieces.h"
#include "Staging/LoadIntent.h"
#include "Staging/LoadReporter.h"
#include "Staging/PieceFetcher.h"
#include "Staging/StagingContext.h"

#include <boost/asio/awaitable.hpp>

namespace Lavenderloft::Staging {

// Keeps the desired weights loaded at the local engine: has their pieces fetched, waits for the planned load start, and
// requests the engine to load them. Runs on one event loop.
class WeightLoader {
public:
    WeightLoader(const StagingContext&, const EngineMonitor&, LoadIntent&, LoadState&, LoadReporter&, EnginePieces&, PieceFetcher&);

    // Checks the engine's weights until the event loop ends.
    boost::asio::awaitable<void> run();

private:
    using CallResult = Base::Result<Http::HttpResponse, Http::HttpError>;

    // Of a load request, for the log.
    struct RequestTimes {
        Base::TimePoint requestedAt;
        Base::Duration verificationAge;
    };

    bool needsVerification() const;
    bool needsWeights(const std::optional<DesiredWeights>&) const;
    boost::asio::awaitable<void> stageAndLoad(const DesiredWeights&);
    bool relyOnInheritedPieces(const DesiredWeights&);
    boost::asio::awaitable<bool> stage(const DesiredWeights&);
    void updatePlan(const DesiredWeights&, const std::optional<Base::TimePoint>& stagedAt);
    boost::asio::awaitable<void> waitForLoadStart(const DesiredWeights&);
    boost::asio::awaitable<void> load(const DesiredWeights&, Http::PersistentHttpClient& engine);
    boost::asio::awaitable<bool> confirmPieces(Http::PersistentHttpClient& engine);
    bool isVerificationRecent() const;
    boost::asio::awaitable<void> pauseRequests(LoadMode);
    boost::asio::awaitable<void> waitForRunningRequests();
    boost::asio::awaitable<std::optional<LoadResponse>> requestLoad(const DesiredWeights&, const Fleet::HeldLayers&, LoadMode, Http::PersistentHttpClient& engine);
    std::optional<LoadResponse> readResponse(const CallResult&) const;
    void logRequest(const LoadRequest&, const RequestTimes&, const CallResult&) const;
    PendingLoad makePendingLoad(const DesiredWeights&, const Fleet::HeldLayers&) const;
    bool isVerificationValid() const;
    boost::asio::awaitable<void> verifyLoad();
    LoadMode chooseMode() const;
    boost::asio::awaitable<void> waitForEffect(const DesiredWeights&, const Fleet::HeldLayers&, const std::optional<LoadResponse>&);
    boost::asio::awaitable<void> waitUntilLoaded(const DesiredWeights&, const Fleet::HeldLayers&);
    bool isLoadComplete(const DesiredWeights&, const Fleet::HeldLayers&) const;

    const StagingContext& m_context;
    const EngineMonitor& m_monitor;
    LoadIntent& m_intent;
    LoadState& m_loadState;
    LoadReporter& m_reporter;
    EnginePieces& m_pieces;
    PieceFetcher& m_fetcher;
};

} // namespace Lavenderloft::Staging
