#include "Staging/WeightLoader.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Commands/RecordLoadRequest.h"
#include "Staging/Events.h"
#include "Staging/Queries/PlanLoad.h"
#include "Staging/Queries/ReadLoadState.h"

namespace Lavenderloft::Staging {

namespace asio = boost::asio;

namespace {

    using namespace std::chrono_literals;

    constexpr std::chrono::milliseconds checkInterval = 50ms;
    // Time for the routers to learn that the engine accepts no new requests.
    constexpr std::chrono::milliseconds pausePropagationDelay = 60ms;
    // How long running requests may take to finish before they are aborted and resumed elsewhere.
    constexpr std::chrono::milliseconds drainTimeout = 700ms;
    constexpr std::chrono::milliseconds drainCheckInterval = 50ms;
    // A load request without effect is repeated after this time.
    constexpr std::chrono::seconds loadTimeout = 8s;
    constexpr std::chrono::milliseconds loadCheckInterval = 100ms;
    // Delay after a load request that was rejected or had no response.
    constexpr std::chrono::milliseconds repeatedLoadDelay = 500ms;
    // A load request relies on a verification that is no older. Longer than a verification and a drain take; a longer time
    // means that the process stood still, while stored pieces may have turned bad.
    constexpr std::chrono::milliseconds verificationLifetime = 2000ms;
    // Verifications before a load is given up and planned anew.
    constexpr unsigned maximumVerifications = 3;

} // namespace

WeightLoader::WeightLoader(const StagingContext& context, const EngineMonitor& monitor, LoadIntent& intent, LoadState& loadState, LoadReporter& reporter, EnginePieces& pieces, PieceFetcher& fetcher)
    : m_context(context)
    , m_monitor(monitor)
    , m_intent(intent)
    , m_loadState(loadState)
    , m_reporter(reporter)
    , m_pieces(pieces)
    , m_fetcher(fetcher)
{
}

asio::awaitable<void> WeightLoader::run()
{
    // An exception may have ended a load.
    m_intent = {};
    while (true) {
        auto desired = m_monitor.findDesiredWeights();
        if (needsVerification())
            co_await verifyLoad();
        else if (needsWeights(desired))
            co_await stageAndLoad(*desired);
        co_await Http::sleepFor(m_context.loop, checkInterval);
    }
}

bool WeightLoader::needsVerification() const
{
    return m_monitor.report() && m_loadState.lifeCycle.phase() == LoadPhase::Unverified && !m_loadState.pending->isVerified;
}

bool WeightLoader::needsWeights(const std::optional<DesiredWeights>& desired) const
{
    auto& report = m_monitor.report();
    return report && desired && !desired->origin.host.empty() && !m_monitor.hasLoaded(*desired) && !report->busy && m_loadState.lifeCycle.phase() != LoadPhase::Unverified;
}

asio::awaitable<void> WeightLoader::stageAndLoad(const DesiredWeights& desired)
{
    updatePlan(desired, std::nullopt);
    bool isStaged = co_await stage(desired);
    if (!isStaged)
        co_return;
    Observability::logEvent(Events::stagingComplete, { { "model", desired.model }, { "version", desired.declared.version } });
    updatePlan(desired, m_context.clock.now());
    co_await waitForLoadStart(desired);
    if (!m_monitor.isStillDesired(desired))
        co_return;
    auto engine = m_context.engineClient();
    bool isAnswered = co_await m_pieces.verify(engine);
    if (!isAnswered || !m_pieces.checklist()->isComplete() || relyOnInheritedPieces(desired))
        co_return;
    co_await load(desired, engine);
}

// Returns whether the engine needs no load, because an earlier process had it load the pieces that are stored there.
bool WeightLoader::relyOnInheritedPieces(const DesiredWeights& desired)
{
    Fleet::HeldLayers all { 0, desired.layers, desired.declared.version };
    bool hasStored = m_pieces.lastStoreAt() != Base::TimePoint();
    if (hasStored || !m_monitor.report() || !Queries::canRelyOnInheritedPieces(m_loadState, *m_monitor.report(), all))
        return false;
    Commands::recordInheritedPiecesWhole(m_loadState);
    return true;
}

// First made before the pieces are fetched, so that load reports can announce the abort in time. An engine that serves
// nothing, or that may accept a load request at any time, loads without a plan, as soon as it can.
void WeightLoader::updatePlan(const DesiredWeights& desired, const std::optional<Base::TimePoint>& stagedAt)
{
    m_intent.plan.reset();
    auto heldVersion = m_monitor.wholeVersion();
    if (heldVersion > 0 && !m_loadState.pending)
        m_intent.plan = Queries::planLoad(*m_context.snapshot(), m_context.settings, desired.model, desired.declared, heldVersion, { stagedAt, m_fetcher.canFetchNewest() });
}

// Returns whether all pieces are stored at the engine.
asio::awaitable<bool> WeightLoader::stage(const DesiredWeights& desired)
{
    if (Queries::isFetchDeferred(*m_context.snapshot(), m_context.settings, desired, m_monitor.wholeVersion(), m_context.clock.now()))
        co_return false;
    bool isPrepared = co_await m_fetcher.prepare(desired);
    if (!isPrepared)
        co_return false;
    if (!m_pieces.checklist()->isComplete())
        co_await m_fetcher.fetchMissing(desired);
    bool isComplete = m_pieces.checklist()->isComplete();
    co_return isComplete;
}

asio::awaitable<void> WeightLoader::waitForLoadStart(const DesiredWeights& desired)
{
    while (m_intent.plan && m_context.clock.now() < m_intent.plan->startAt && m_monitor.isStillDesired(desired))
        co_await Http::sleepFor(m_context.loop, checkInterval);
}

asio::awaitable<void> WeightLoader::load(const DesiredWeights& desired, Http::PersistentHttpClient& engine)
{
    auto mode = chooseMode();
    co_await pauseRequests(mode);
    bool areConfirmed = co_await confirmPieces(engine);
    if (areConfirmed && m_monitor.report() && m_monitor.isStillDesired(desired)) {
        auto layers = Queries::chooseLayers(m_loadState, m_monitor.report()->layers, desired.declared.version, desired.layers);
        auto response = co_await requestLoad(desired, layers, mode, engine);
        if (needsVerification())
            co_await verifyLoad();
        co_await waitForEffect(desired, layers, response);
    }
    m_intent = {};
}

// Requests that run on layers in doubt are aborted, whatever they have produced.
LoadMode WeightLoader::chooseMode() const
{
    if (m_loadState.isInDoubt)
        return LoadMode::AbortRunning;
    return m_intent.plan ? m_intent.plan->mode : LoadMode::FinishRunning;
}

// An engine that rejects the request, or does not respond, is asked again. It accepts only one of the attempts.
asio::awaitable<void> WeightLoader::waitForEffect(const DesiredWeights& desired, const Fleet::HeldLayers& layers, const std::optional<LoadResponse>& response)
{
    if (response != LoadResponse::Started) {
        co_await Http::sleepFor(m_context.loop, repeatedLoadDelay);
        co_return;
    }
    co_await waitUntilLoaded(desired, layers);
    if (m_monitor.hasLoaded(desired))
        Observability::logEvent(Events::weightsLoaded, { { "model", desired.model }, { "version", desired.declared.version } });
}

bool WeightLoader::isVerificationRecent() const
{
    return m_pieces.verificationAge() <= verificationLifetime;
}

// Returns whether the stored pieces are whole, by a verification that is recent and was made over this connection. An
// engine that restarted since may have lost them; its end has closed the connection.
asio::awaitable<bool> WeightLoader::confirmPieces(Http::PersistentHttpClient& engine)
{
    bool isConfirmed = isVerificationRecent() && engine.isConnected();
    for (unsigned i = 0; i < maximumVerifications && !isConfirmed; ++i) {
        bool isAnswered = co_await m_pieces.verify(engine);
        if (!isAnswered || !m_pieces.checklist()->isComplete())
            co_return false;
        isConfirmed = isVerificationRecent();
    }
    co_return isConfirmed;
}

asio::awaitable<void> WeightLoader::pauseRequests(LoadMode mode)
{
    m_intent.isPaused = true;
    m_reporter.reportNow();
    co_await Http::sleepFor(m_context.loop, pausePropagationDelay);
    if (mode == LoadMode::AbortRunning)
        co_await waitForRunningRequests();
}

// Most requests finish within the timeout. Waiting for the few long ones would delay the load by seconds.
asio::awaitable<void> WeightLoader::waitForRunningRequests()
{
    auto until = m_context.clock.now() + drainTimeout;
    while (m_context.clock.now() < until && m_monitor.hasRequests())
        co_await Http::sleepFor(m_context.loop, drainCheckInterval);
}

PendingLoad WeightLoader::makePendingLoad(const DesiredWeights& desired, const Fleet::HeldLayers& layers) const
{
    auto& held = m_monitor.report()->layers;
    return { desired, layers, m_loadState.acceptedLoads, Queries::replacesAllLayers(layers, held), m_context.clock.now(), m_context.clock.now() };
}

// Returns nothing if the engine did not respond.
asio::awaitable<std::optional<LoadResponse>> WeightLoader::requestLoad(const DesiredWeights& desired, const Fleet::HeldLayers& layers, LoadMode mode, Http::PersistentHttpClient& engine)
{
    RequestTimes times { m_context.clock.now(), m_pieces.verificationAge() };
    Commands::recordLoadRequest(m_loadState, makePendingLoad(desired, layers));
    LoadRequest request { desired.model, layers, layers.from == 0 && layers.to == desired.layers, mode, m_loadState.pending->acceptedBefore };
    auto result = co_await engine.call(m_context.protocol.loadRequest(request), StagingContext::engineTimeout);
    auto response = readResponse(result);
    Commands::recordLoadResponse(m_loadState, response, isVerificationValid());
    logRequest(request, times, result);
    if (!response)
        Observability::logEvent(Events::loadUnsettled, { { "model", desired.model }, { "version", desired.declared.version }, { "accepted_loads", request.acceptedBefore.value_or(0) } });
    co_return response;
}

std::optional<LoadResponse> WeightLoader::readResponse(const CallResult& result) const
{
    if (Base::succeeded(result))
        return m_context.protocol.readLoadResponse(Base::valueOf(result));
    bool isSent = Base::errorOf(result).kind != Http::HttpErrorKind::NotSent;
    return isSent ? std::nullopt : std::optional(LoadResponse::Refused);
}

void WeightLoader::logRequest(const LoadRequest& request, const RequestTimes& times, const CallResult& result) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    auto& report = m_monitor.report();
    Observability::logEvent(Events::loadOrdered,
        { { "model", request.model },
            { "version", request.layers.version },
            { "from", request.layers.from },
            { "to", request.layers.to },
            { "running", report ? report->running : 0 },
            { "queued", report ? report->queued : 0 },
            { "verified_before", duration_cast<milliseconds>(times.verificationAge) },
            { "answered_after", duration_cast<milliseconds>(m_context.clock.now() - times.requestedAt) },
            { "accepted_loads", request.acceptedBefore.value_or(0) },
            { "status", Base::succeeded(result) ? Base::valueOf(result).status : 0 },
            { "problem", Base::succeeded(result) ? std::string() : Base::errorOf(result).describe() } });
}

// Whether a request that was accepted by now was accepted while the pieces were whole.
bool WeightLoader::isVerificationValid() const
{
    return isVerificationRecent() && !m_pieces.hasUnsettledStores();
}

// Verifies the pieces of a load request that was accepted long after their last verification. Stored pieces only turn bad;
// if they are whole now and none was stored since the engine may have accepted the request, it loaded whole ones.
asio::awaitable<void> WeightLoader::verifyLoad()
{
    auto load = *m_loadState.pending;
    auto engine = m_context.engineClient();
    bool isAnswered = co_await m_pieces.verify(engine);
    bool isWhole = m_pieces.checklist()->isComplete() && m_pieces.hasChecklistOf(load.weights.declared.version);
    // An engine that does not answer tells nothing of its pieces; they are verified again.
    if (!isAnswered)
        co_return;
    bool isUnchanged = m_pieces.lastStoreAt() <= load.notAcceptedAt;
    bool wasInDoubt = m_loadState.isInDoubt;
    Commands::recordLoadVerification(m_loadState, isWhole && isUnchanged);
    Observability::logEvent(Events::loadVerified, { { "model", load.weights.model }, { "version", load.weights.declared.version }, { "is_whole", isWhole }, { "is_unchanged", isUnchanged } });
    if (m_loadState.isInDoubt && !wasInDoubt)
        Observability::logEvent(Events::loadInDoubt, { { "version", load.weights.declared.version }, { "accepted_loads", m_loadState.acceptedLoads.value_or(0) }, { "cause", "the pieces were not whole all the time until the engine accepted the load request" } });
}

asio::awaitable<void> WeightLoader::waitUntilLoaded(const DesiredWeights& desired, const Fleet::HeldLayers& layers)
{
    auto until = m_context.clock.now() + loadTimeout;
    while (m_context.clock.now() < until && m_monitor.report() && !isLoadComplete(desired, layers) && m_monitor.isStillDesired(desired))
        co_await Http::sleepFor(m_context.loop, loadCheckInterval);
}

bool WeightLoader::isLoadComplete(const DesiredWeights& desired, const Fleet::HeldLayers& layers) const
{
    auto& report = m_monitor.report();
    return m_monitor.hasLoaded(desired) || (report && !report->busy && report->layers == layers);
}

} // namespace Lavenderloft::Staging
