#include "Staging/WeightLoader.h"

#include "Http/Sleep.h"
#include "Observability/Log.h"
#include "Staging/Events.h"
#include "Staging/Queries/PlanLoad.h"

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
    // A load request relies on a verification that is no older. Longer than a verification and a drain take; a longer time
    // means that the process stood still, while stored pieces may have turned bad.
    constexpr std::chrono::milliseconds verificationLifetime = 2000ms;
    // Verifications before a load is given up and planned anew.
    constexpr unsigned maximumVerifications = 3;

} // namespace

WeightLoader::WeightLoader(const StagingContext& context, const EngineMonitor& monitor, LoadIntent& intent, LoadReporter& reporter, EnginePieces& pieces, PieceFetcher& fetcher)
    : m_context(context)
    , m_monitor(monitor)
    , m_intent(intent)
    , m_reporter(reporter)
    , m_pieces(pieces)
    , m_fetcher(fetcher)
{
}

asio::awaitable<void> WeightLoader::run()
{
    while (true) {
        auto desired = m_monitor.findDesiredWeights();
        if (needsWeights(desired))
            co_await stageAndLoad(*desired);
        co_await Http::sleepFor(m_context.loop, checkInterval);
    }
}

bool WeightLoader::needsWeights(const std::optional<DesiredWeights>& desired) const
{
    auto& report = m_monitor.report();
    return report && desired && !desired->origin.host.empty() && !m_monitor.hasLoaded(*desired) && !report->busy;
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
    co_await m_pieces.verify(engine);
    if (m_pieces.checklist()->isComplete())
        co_await load(desired, engine);
}

// First made before the pieces are fetched, so that load reports can announce the abort in time. An engine that serves
// nothing loads without a plan, as soon as it can.
void WeightLoader::updatePlan(const DesiredWeights& desired, const std::optional<Base::TimePoint>& stagedAt)
{
    m_intent.plan.reset();
    auto heldVersion = m_monitor.wholeVersion();
    if (heldVersion > 0)
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
    auto mode = m_intent.plan ? m_intent.plan->mode : LoadMode::FinishRunning;
    co_await pauseRequests(mode);
    bool areConfirmed = co_await confirmPieces(engine);
    if (!areConfirmed || !m_monitor.isStillDesired(desired)) {
        m_intent = {};
        co_return;
    }
    auto response = co_await requestLoad(desired, mode, engine);
    // Without a response, the request may still have been accepted; the engine's reports show whether it was.
    if (response != LoadResponse::Conflict)
        co_await waitUntilLoaded(desired);
    m_intent = {};
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
        co_await m_pieces.verify(engine);
        if (!m_pieces.checklist()->isComplete())
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

asio::awaitable<LoadResponse> WeightLoader::requestLoad(const DesiredWeights& desired, LoadMode mode, Http::PersistentHttpClient& engine)
{
    auto verifiedBefore = std::chrono::duration_cast<std::chrono::milliseconds>(m_pieces.verificationAge());
    auto requestedAt = m_context.clock.now();
    LoadRequest request { desired.model, { 0, desired.layers, desired.declared.version }, true, mode, std::nullopt };
    auto result = co_await engine.call(m_context.protocol.loadRequest(request), StagingContext::engineTimeout);
    auto answeredAfter = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.clock.now() - requestedAt);
    auto& report = m_monitor.report();
    auto status = Base::succeeded(result) ? Base::valueOf(result).status : 0;
    auto problem = Base::succeeded(result) ? std::string() : Base::errorOf(result).describe();
    Observability::logEvent(Events::loadOrdered, { { "model", desired.model }, { "version", desired.declared.version }, { "running", report ? report->running : 0 }, { "queued", report ? report->queued : 0 }, { "verified_before", verifiedBefore }, { "answered_after", answeredAfter }, { "accepted_loads", report ? report->acceptedLoads.value_or(0) : 0 }, { "status", status }, { "problem", problem } });
    co_return Base::succeeded(result) ? m_context.protocol.readLoadResponse(Base::valueOf(result)) : LoadResponse::Refused;
}

asio::awaitable<void> WeightLoader::waitUntilLoaded(const DesiredWeights& desired)
{
    auto until = m_context.clock.now() + loadTimeout;
    while (m_context.clock.now() < until && m_monitor.report() && !m_monitor.hasLoaded(desired) && m_monitor.isStillDesired(desired))
        co_await Http::sleepFor(m_context.loop, loadCheckInterval);
}

} // namespace Lavenderloft::Staging
