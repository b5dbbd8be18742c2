#include "Process/ReplicaDriver.h"

#include "Admission/Queries/AdaptersInUse.h"
#include "Observability/Log.h"
#include "Placement/Commands/RecordAdapterOrder.h"
#include "Placement/Commands/RecordOrder.h"
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
            "send-chunk", "send-load", "confirm", "repair", "fail", "retry"
        };
        return names.at(static_cast<size_t>(kind));
    }

    const char* orderName(AdapterOrderKind kind)
    {
        static constexpr std::array names { "none", "send-manifest", "send-chunk", "send-load", "send-unload", "confirm", "abandon", "fail" };
        return names.at(static_cast<size_t>(kind));
    }

    Placement::EngineError notHeld()
    {
        return { Placement::EngineErrorKind::Refused, "the chunk is no longer held", "wait until it is fetched again" };
    }

} // namespace

ReplicaDriver::ReplicaDriver(Parts parts)
    : m_parts(std::move(parts))
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
        m_isAwake = true;
    }
    m_changed.notify_all();
}

void ReplicaDriver::run()
{
    while (true) {
        {
            std::unique_lock guard(m_wakeLock);
            m_changed.wait(guard, [&] { return m_isAwake || m_isStopping; });
            if (m_isStopping)
                return;
            m_isAwake = false;
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
    updateSituation();
    return Placement::Queries::servedPool(m_record, m_engine);
}

void ReplicaDriver::dropOrders()
{
    std::lock_guard guard(m_lock);
    ++m_generation;
    // The state of the engine is unknown until the next poll.
    m_engine.reset();
    Placement::Commands::dropOrders(m_record);
    updateSituation();
}

void ReplicaDriver::updateSituation()
{
    m_parts.situation.setServed(Placement::Queries::servedPool(m_record, m_engine), Placement::Queries::isSwitching(m_record));
}

void ReplicaDriver::observeDesired(Observation& seen)
{
    auto document = m_parts.control.document();
    auto members = m_parts.control.members();
    Placement::Commands::recordDocument(m_record, *document);
    Placement::Queries::PlacementView view { *document, members, m_assignments.assignment(document, members) };
    auto assigned = Placement::Queries::desiredReplica(view, m_parts.vm, m_record);
    seen.desired = Placement::Commands::debounceAssignment(m_record, assigned, seen.now);
    auto served = Placement::Queries::servedPool(m_record, m_engine);
    if (!seen.desired) {
        seen.mayRelease = Placement::Queries::mayRelease(view, m_parts.vm, served.pool);
        if (seen.mayRelease)
            want({});
        return;
    }
    Placement::Queries::SwitchCandidate candidate { m_parts.vm, seen.desired->pool, served.pool };
    seen.maySwitch = Placement::Queries::maySwitch(view, candidate);
    seen.isClaimValid = Placement::Queries::isClaimValid(view, candidate);
    want(Placement::Queries::wantedManifests(*document, *seen.desired));
}

void ReplicaDriver::want(std::vector<Weights::WantedManifest> manifests)
{
    auto isSame = [](const Weights::WantedManifest& left, const Weights::WantedManifest& right) { return left.digest == right.digest && left.priority == right.priority; };
    if (std::equal(manifests.begin(), manifests.end(), m_wantedManifests.begin(), m_wantedManifests.end(), isSame))
        return;
    m_wantedManifests = std::move(manifests);
    m_parts.weights.setWanted(m_wantedManifests);
}

ReplicaDriver::Observation ReplicaDriver::observe()
{
    Observation seen;
    seen.now = m_parts.clock.now();
    seen.engine = m_engine;
    seen.running = m_parts.target.state.permits.occupancy.usage().slots;
    observeDesired(seen);
    if (seen.desired)
        seen.progress = m_parts.weights.progress(seen.desired->manifest);
    return seen;
}

bool ReplicaDriver::isForEngine(const Order& order)
{
    return order.kind == OrderKind::SendManifest || order.kind == OrderKind::SendChunk || order.kind == OrderKind::SendLoad;
}

bool ReplicaDriver::mayAct() const
{
    auto& situation = m_parts.situation;
    return !situation.isLeaving() && situation.pauseDetector().isRunning() && m_parts.control.isSynchronised();
}

bool ReplicaDriver::step()
{
    std::unique_lock guard(m_lock);
    // Without a document in force nothing is known; what the engine serves stays.
    if (!mayAct() || !m_parts.control.document())
        return false;
    auto seen = observe();
    auto order = Placement::Queries::nextOrder(m_record, seen);
    if (order.kind == OrderKind::None) {
        updateSituation();
        return stepAdapter(guard, seen);
    }
    if (order.kind != OrderKind::SendChunk)
        Observability::logEvent(Placement::orderDecided, { { "order", orderName(order.kind) }, { "pool", seen.desired ? seen.desired->pool : std::string() }, { "manifest", seen.desired ? seen.desired->manifest : std::string() }, { "reason", order.reason } });
    if (isForEngine(order))
        carryOut(guard, order, seen);
    else
        Placement::Commands::recordOrderExecuted(m_record, order, seen);
    updateSituation();
    guard.unlock();
    publish();
    return true;
}

template <typename Send>
std::optional<ReplicaDriver::EngineResult> ReplicaDriver::sendUnlocked(std::unique_lock<std::mutex>& guard, const Placement::EngineStatus& engine, Send&& send)
{
    auto fence = Placement::Queries::nextFence(m_record, engine, m_parts.clock.wallTime());
    m_record.lastFence = fence;
    auto generation = m_generation;
    guard.unlock();
    std::optional<EngineResult> result;
    // The process may have been paused since the decision.
    if (mayAct())
        result = std::forward<Send>(send)(fence);
    guard.lock();
    if (generation != m_generation)
        return std::nullopt;
    return result;
}

void ReplicaDriver::carryOut(std::unique_lock<std::mutex>& guard, const Order& order, const Observation& seen)
{
    auto manifest = m_record.wanted.manifest;
    auto result = sendUnlocked(guard, *seen.engine, [&](uint64_t fence) { return send(order, manifest, fence); });
    if (!result)
        return;
    if (Base::succeeded(*result))
        return Placement::Commands::recordOrderExecuted(m_record, order, seen);
    auto reason = Base::errorOf(*result).describe();
    Observability::logEvent(Placement::orderRefused, { { "order", orderName(order.kind) }, { "manifest", manifest }, { "reason", reason } });
    Placement::Commands::recordOrderFailed(m_record, reason, m_parts.clock.now());
}

ReplicaDriver::EngineResult ReplicaDriver::sendManifest(const std::string& digest, uint64_t fence)
{
    auto bytes = m_parts.weights.manifestBytes(digest);
    return bytes ? m_parts.engine.sendManifest(digest, *bytes, fence) : EngineResult { notHeld() };
}

ReplicaDriver::EngineResult ReplicaDriver::sendChunk(const std::string& digest, unsigned index, uint64_t fence)
{
    auto bytes = m_parts.weights.chunk(digest, index);
    return bytes ? m_parts.engine.sendChunk(digest, index, *bytes, fence) : EngineResult { notHeld() };
}

ReplicaDriver::EngineResult ReplicaDriver::send(const Order& order, const std::string& manifest, uint64_t fence)
{
    if (order.kind == OrderKind::SendLoad)
        return m_parts.engine.load(manifest, fence);
    if (order.kind == OrderKind::SendManifest)
        return sendManifest(manifest, fence);
    return sendChunk(manifest, order.chunk, fence);
}

ReplicaDriver::AdapterObservation ReplicaDriver::observeAdapters(const Observation& base) const
{
    AdapterObservation seen;
    seen.now = base.now;
    seen.engine = base.engine;
    auto document = m_parts.control.document();
    auto* pool = base.desired ? document->findPool(base.desired->pool) : nullptr;
    if (!pool)
        return seen;
    for (auto& digest : pool->adapters)
        seen.declared.push_back({ digest, m_parts.weights.progress(digest) });
    // The permits of the target are counted only when an adapter is to go.
    if (seen.engine && Placement::Queries::hasSurplusAdapter(*seen.engine, seen.declared))
        seen.inUse = Admission::Queries::adaptersInUse(m_parts.target.state.permits);
    return seen;
}

bool ReplicaDriver::isForEngine(const AdapterOrder& order)
{
    return order.kind >= AdapterOrderKind::SendManifest && order.kind <= AdapterOrderKind::SendUnload;
}

bool ReplicaDriver::stepAdapter(std::unique_lock<std::mutex>& guard, const Observation& base)
{
    if (!base.desired)
        return false;
    auto seen = observeAdapters(base);
    auto order = Placement::Queries::nextAdapterOrder(m_record, seen);
    if (order.kind == AdapterOrderKind::None)
        return false;
    if (order.kind != AdapterOrderKind::SendChunk)
        Observability::logEvent(Placement::adapterOrderDecided, { { "order", orderName(order.kind) }, { "pool", base.desired->pool }, { "adapter", order.digest }, { "reason", order.reason } });
    if (isForEngine(order))
        carryOut(guard, order, seen);
    else
        Placement::Commands::recordAdapterOrderExecuted(m_record, order, seen);
    return true;
}

ReplicaDriver::EngineResult ReplicaDriver::send(const AdapterOrder& order, uint64_t fence)
{
    if (order.kind == AdapterOrderKind::SendLoad)
        return m_parts.engine.loadAdapter(order.digest, fence);
    if (order.kind == AdapterOrderKind::SendUnload)
        return m_parts.engine.unloadAdapter(order.digest, fence);
    if (order.kind == AdapterOrderKind::SendManifest)
        return sendManifest(order.digest, fence);
    return sendChunk(order.digest, order.chunk, fence);
}

void ReplicaDriver::carryOut(std::unique_lock<std::mutex>& guard, const AdapterOrder& order, const AdapterObservation& seen)
{
    auto result = sendUnlocked(guard, *seen.engine, [&](uint64_t fence) { return send(order, fence); });
    if (!result)
        return;
    if (Base::succeeded(*result))
        return Placement::Commands::recordAdapterOrderExecuted(m_record, order, seen);
    auto reason = Base::errorOf(*result).describe();
    Observability::logEvent(Placement::adapterOrderRefused, { { "order", orderName(order.kind) }, { "adapter", order.digest }, { "reason", reason } });
    Placement::Commands::recordAdapterOrderFailed(m_record, order, reason, m_parts.clock.now());
}

void ReplicaDriver::publish()
{
    std::vector<Membership::Replica> replicas;
    {
        std::lock_guard guard(m_lock);
        auto progress = m_record.wanted.manifest.empty() ? Weights::TransferProgress {} : m_parts.weights.progress(m_record.wanted.manifest);
        std::vector<Placement::Queries::DeclaredAdapter> adapters;
        for (auto& wanted : m_wantedManifests) {
            if (wanted.digest != m_record.wanted.manifest)
                adapters.push_back({ wanted.digest, m_parts.weights.progress(wanted.digest) });
        }
        replicas = Placement::Queries::reportedReplicas(m_record, Placement::Queries::servedPool(m_record, m_engine), progress, adapters);
    }
    m_parts.control.publish(m_parts.target.load(), replicas);
}

} // namespace Lavenderloft::Process
