#include "Process/ReplicaDriver.h"

#include "Admission/Queries/AdaptersInUse.h"
#include "Observability/Log.h"
#include "Placement/Commands/RecordAdapterOrder.h"
#include "Placement/Commands/RecordOrder.h"
#include "Placement/Commands/SettleLoad.h"
#include "Placement/Events.h"
#include "Placement/Queries/DesiredWeights.h"
#include "Placement/Queries/ServedPool.h"
#include "Placement/Queries/SwitchPolicy.h"

#include <algorithm>
#include <array>

namespace Lavenderloft::Process {

namespace {

    using Placement::Queries::AdapterOrderKind;
    using Placement::Queries::OrderKind;

    const char* orderName(OrderKind kind)
    {
        static constexpr std::array names {
            "none", "adopt", "release", "mark-fetched", "claim", "withdraw", "begin-upload", "send-manifest",
            "send-chunk", "send-load", "confirm", "repair", "fail", "retry", "void-load"
        };
        return names.at(static_cast<size_t>(kind));
    }

    const char* orderName(AdapterOrderKind kind)
    {
        static constexpr std::array names { "none", "send-manifest", "send-chunk", "send-load", "send-unload", "confirm", "abandon", "fail" };
        return names.at(static_cast<size_t>(kind));
    }

    Placement::EngineError notHeldError(const std::string& item)
    {
        return { Placement::EngineErrorKind::Refused, item + " is no longer held", "wait until it is fetched again" };
    }

} // namespace

ReplicaDriver::ReplicaDriver(Dependencies dependencies)
    : m_dependencies(std::move(dependencies))
{
}

ReplicaDriver::~ReplicaDriver()
{
    stop();
}

void ReplicaDriver::start()
{
    m_thread = std::thread([this] { run(); });
}

void ReplicaDriver::stop()
{
    {
        std::lock_guard guard(m_wakeLock);
        m_isStopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ReplicaDriver::wake()
{
    {
        std::lock_guard guard(m_wakeLock);
        m_isWakeRequested = true;
    }
    m_changed.notify_all();
}

void ReplicaDriver::run()
{
    while (true) {
        {
            std::unique_lock guard(m_wakeLock);
            m_changed.wait(guard, [&] { return m_isWakeRequested || m_isStopping; });
            if (m_isStopping)
                return;
            m_isWakeRequested = false;
        }
        while (!isStopping() && step()) { }
    }
}

bool ReplicaDriver::isStopping()
{
    std::lock_guard guard(m_wakeLock);
    return m_isStopping;
}

Placement::Queries::ServedWeights ReplicaDriver::observeEngine(const std::optional<Placement::EngineStatus>& status)
{
    std::lock_guard guard(m_lock);
    m_engine = status;
    if (status)
        Placement::Commands::recordEngineStatus(m_record, *status, m_dependencies.clock.now());
    updateAgentState();
    return Placement::Queries::servedPool(m_record, m_engine);
}

void ReplicaDriver::dropOrders()
{
    std::lock_guard guard(m_lock);
    ++m_generation;
    // The status of the engine is unknown until the next poll.
    m_engine.reset();
    Placement::Commands::dropOrders(m_record);
    updateAgentState();
}

void ReplicaDriver::updateAgentState()
{
    m_dependencies.agentState.setServed(Placement::Queries::servedPool(m_record, m_engine), Placement::Queries::isSwitching(m_record));
}

void ReplicaDriver::observeDesired(Observation& observation)
{
    auto document = m_dependencies.control.document();
    auto members = m_dependencies.control.members();
    Placement::Commands::recordDocument(m_record, *document);
    Placement::Queries::PlacementView view { *document, members, m_assignments.assignment(document, members) };
    auto assigned = Placement::Queries::desiredReplica(view, m_dependencies.vm, m_record);
    observation.desired = Placement::Commands::debounceAssignment(m_record, assigned, observation.now);
    auto served = Placement::Queries::servedPool(m_record, m_engine);
    if (!observation.desired) {
        observation.mayRelease = Placement::Queries::mayRelease(view, m_dependencies.vm, served.pool);
        if (observation.mayRelease)
            setWanted({});
        return;
    }
    Placement::Queries::SwitchCandidate candidate { m_dependencies.vm, observation.desired->pool, served.pool };
    observation.maySwitch = Placement::Queries::maySwitch(view, candidate);
    observation.isClaimValid = Placement::Queries::isClaimValid(view, candidate);
    setWanted(Placement::Queries::wantedManifests(*document, *observation.desired));
}

void ReplicaDriver::setWanted(std::vector<Weights::WantedManifest> manifests)
{
    auto isSame = [](const Weights::WantedManifest& left, const Weights::WantedManifest& right) { return left.digest == right.digest && left.priority == right.priority; };
    if (std::equal(manifests.begin(), manifests.end(), m_wantedManifests.begin(), m_wantedManifests.end(), isSame))
        return;
    m_wantedManifests = std::move(manifests);
    m_dependencies.weights.setWanted(m_wantedManifests);
}

ReplicaDriver::Observation ReplicaDriver::observe()
{
    Observation observation;
    observation.now = m_dependencies.clock.now();
    observation.engine = m_engine;
    observation.running = m_dependencies.target.state.permits.occupancy.usage().slots;
    observeDesired(observation);
    if (observation.desired)
        observation.progress = m_dependencies.weights.progress(observation.desired->manifest);
    return observation;
}

bool ReplicaDriver::isForEngine(const Order& order)
{
    return order.kind == OrderKind::SendManifest || order.kind == OrderKind::SendChunk || order.kind == OrderKind::SendLoad || order.kind == OrderKind::VoidLoad;
}

bool ReplicaDriver::maySendOrders() const
{
    auto& agentState = m_dependencies.agentState;
    return !agentState.isLeaving() && agentState.pauseDetector().isRunning() && m_dependencies.control.isSynchronised();
}

bool ReplicaDriver::step()
{
    std::unique_lock guard(m_lock);
    // Without a document in force, the engine keeps the weights that it serves.
    if (!maySendOrders() || !m_dependencies.control.document())
        return false;
    auto observation = observe();
    auto order = Placement::Queries::nextOrder(m_record, observation);
    if (order.kind == OrderKind::None) {
        updateAgentState();
        return stepAdapter(guard, observation);
    }
    if (order.kind != OrderKind::SendChunk)
        Observability::logEvent(Placement::orderDecided, { { "order", orderName(order.kind) }, { "pool", observation.desired ? observation.desired->pool : std::string() }, { "manifest", observation.desired ? observation.desired->manifest : std::string() }, { "reason", order.reason } });
    if (isForEngine(order))
        execute(guard, order, observation);
    else
        Placement::Commands::recordOrderExecuted(m_record, order, observation);
    updateAgentState();
    guard.unlock();
    publish();
    return true;
}

uint64_t ReplicaDriver::takeFence(const Placement::EngineStatus& engine)
{
    m_record.lastFence = Placement::Queries::nextFence(m_record, engine, m_dependencies.clock.wallTime());
    return m_record.lastFence;
}

template <typename Send>
std::optional<ReplicaDriver::EngineResult> ReplicaDriver::sendUnlocked(std::unique_lock<std::mutex>& guard, Send&& send)
{
    auto generation = m_generation;
    guard.unlock();
    std::optional<EngineResult> result;
    // The process may have been paused since the order was decided.
    if (maySendOrders())
        result = std::forward<Send>(send)();
    guard.lock();
    if (generation != m_generation)
        return std::nullopt;
    return result;
}

void ReplicaDriver::execute(std::unique_lock<std::mutex>& guard, const Order& order, const Observation& observation)
{
    if (order.kind == OrderKind::SendLoad)
        return executeLoad(guard, order, observation);
    if (order.kind == OrderKind::VoidLoad)
        return executeVoid(guard, order, observation);
    auto manifest = m_record.wanted.manifest;
    auto fence = takeFence(*observation.engine);
    auto result = sendUnlocked(guard, [&] { return send(order, manifest, fence); });
    if (result)
        recordResult(order, observation, *result);
}

// The order is recorded before it is sent, because a pause of the process may hide its result.
void ReplicaDriver::executeLoad(std::unique_lock<std::mutex>& guard, const Order& order, const Observation& observation)
{
    auto manifest = m_record.wanted.manifest;
    auto fence = takeFence(*observation.engine);
    auto previous = m_record.unsettledLoad;
    Placement::Commands::recordLoadSent(m_record, *observation.engine, fence, observation.now);
    bool isSent = false;
    auto result = sendUnlocked(guard, [&] {
        isSent = true;
        return m_dependencies.engine.load(manifest, fence);
    });
    if (!isSent)
        m_record.unsettledLoad = previous;
    if (!result)
        return;
    Placement::Commands::recordLoadResult(m_record, *result);
    recordResult(order, observation, *result);
}

// The result does not matter: the engine's status tells whether the fencing token has arrived.
void ReplicaDriver::executeVoid(std::unique_lock<std::mutex>& guard, const Order& order, const Observation& observation)
{
    auto manifest = m_record.wanted.manifest;
    auto fence = takeFence(*observation.engine);
    Placement::Commands::recordOrderExecuted(m_record, order, observation);
    sendUnlocked(guard, [&] { return sendManifest(manifest, fence); });
}

void ReplicaDriver::recordResult(const Order& order, const Observation& observation, const EngineResult& result)
{
    if (Base::succeeded(result))
        return Placement::Commands::recordOrderExecuted(m_record, order, observation);
    auto reason = Base::errorOf(result).describe();
    Observability::logEvent(Placement::orderRefused, { { "order", orderName(order.kind) }, { "manifest", m_record.wanted.manifest }, { "reason", reason } });
    Placement::Commands::recordOrderFailed(m_record, reason, m_dependencies.clock.now());
}

ReplicaDriver::EngineResult ReplicaDriver::sendManifest(const std::string& digest, uint64_t fence)
{
    auto bytes = m_dependencies.weights.manifestBytes(digest);
    return bytes ? m_dependencies.engine.sendManifest(digest, *bytes, fence) : EngineResult { notHeldError("manifest " + digest) };
}

ReplicaDriver::EngineResult ReplicaDriver::sendChunk(const std::string& digest, unsigned index, uint64_t fence)
{
    auto bytes = m_dependencies.weights.chunk(digest, index);
    return bytes ? m_dependencies.engine.sendChunk(digest, index, *bytes, fence) : EngineResult { notHeldError("chunk " + std::to_string(index) + " of manifest " + digest) };
}

ReplicaDriver::EngineResult ReplicaDriver::send(const Order& order, const std::string& manifest, uint64_t fence)
{
    if (order.kind == OrderKind::SendManifest)
        return sendManifest(manifest, fence);
    return sendChunk(manifest, order.chunk, fence);
}

ReplicaDriver::AdapterObservation ReplicaDriver::observeAdapters(const Observation& base) const
{
    AdapterObservation observation;
    observation.now = base.now;
    observation.engine = base.engine;
    auto document = m_dependencies.control.document();
    auto* pool = base.desired ? document->findPool(base.desired->pool) : nullptr;
    if (!pool)
        return observation;
    for (auto& digest : pool->adapters)
        observation.declared.push_back({ digest, m_dependencies.weights.progress(digest) });
    // Permits are counted only if an adapter is to be unloaded.
    if (observation.engine && Placement::Queries::hasSurplusAdapter(*observation.engine, observation.declared))
        observation.inUse = Admission::Queries::adaptersInUse(m_dependencies.target.state.permits);
    return observation;
}

bool ReplicaDriver::isForEngine(const AdapterOrder& order)
{
    return order.kind >= AdapterOrderKind::SendManifest && order.kind <= AdapterOrderKind::SendUnload;
}

bool ReplicaDriver::stepAdapter(std::unique_lock<std::mutex>& guard, const Observation& base)
{
    if (!base.desired)
        return false;
    auto observation = observeAdapters(base);
    auto order = Placement::Queries::nextAdapterOrder(m_record, observation);
    if (order.kind == AdapterOrderKind::None)
        return false;
    if (order.kind != AdapterOrderKind::SendChunk)
        Observability::logEvent(Placement::adapterOrderDecided, { { "order", orderName(order.kind) }, { "pool", base.desired->pool }, { "adapter", order.digest }, { "reason", order.reason } });
    if (isForEngine(order))
        execute(guard, order, observation);
    else
        Placement::Commands::recordAdapterOrderExecuted(m_record, order, observation);
    return true;
}

ReplicaDriver::EngineResult ReplicaDriver::send(const AdapterOrder& order, uint64_t fence)
{
    if (order.kind == AdapterOrderKind::SendLoad)
        return m_dependencies.engine.loadAdapter(order.digest, fence);
    if (order.kind == AdapterOrderKind::SendUnload)
        return m_dependencies.engine.unloadAdapter(order.digest, fence);
    if (order.kind == AdapterOrderKind::SendManifest)
        return sendManifest(order.digest, fence);
    return sendChunk(order.digest, order.chunk, fence);
}

void ReplicaDriver::execute(std::unique_lock<std::mutex>& guard, const AdapterOrder& order, const AdapterObservation& observation)
{
    auto fence = takeFence(*observation.engine);
    auto result = sendUnlocked(guard, [&] { return send(order, fence); });
    if (!result)
        return;
    if (Base::succeeded(*result))
        return Placement::Commands::recordAdapterOrderExecuted(m_record, order, observation);
    auto reason = Base::errorOf(*result).describe();
    Observability::logEvent(Placement::adapterOrderRefused, { { "order", orderName(order.kind) }, { "adapter", order.digest }, { "reason", reason } });
    Placement::Commands::recordAdapterOrderFailed(m_record, order, reason, m_dependencies.clock.now());
}

void ReplicaDriver::publish()
{
    std::vector<Membership::Replica> replicas;
    {
        std::lock_guard guard(m_lock);
        auto progress = m_record.wanted.manifest.empty() ? Weights::TransferProgress {} : m_dependencies.weights.progress(m_record.wanted.manifest);
        std::vector<Placement::Queries::DeclaredAdapter> adapters;
        for (auto& wanted : m_wantedManifests) {
            if (wanted.digest != m_record.wanted.manifest)
                adapters.push_back({ wanted.digest, m_dependencies.weights.progress(wanted.digest) });
        }
        replicas = Placement::Queries::reportedReplicas(m_record, Placement::Queries::servedPool(m_record, m_engine), progress, adapters);
    }
    m_dependencies.control.publish(m_dependencies.target.load(), replicas);
}

} // namespace Lavenderloft::Process
