#include "Placement/Queries/NextAdapterOrder.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    const DeclaredAdapter* findDeclared(const std::vector<DeclaredAdapter>& declared, const std::string& digest)
    {
        auto adapter = std::find_if(declared.begin(), declared.end(), [&](auto& candidate) { return candidate.digest == digest; });
        return adapter == declared.end() ? nullptr : &*adapter;
    }

    bool isHeld(const DeclaredAdapter& adapter)
    {
        return adapter.progress.status == Weights::TransferStatus::Complete;
    }

    AdapterOrder makeOrder(AdapterOrderKind kind, const std::string& digest, std::string reason = {})
    {
        return { kind, digest, 0, std::move(reason) };
    }

    AdapterOrder afterOrder(const AdapterOperation& operation, const AdapterObservation& observation)
    {
        if (observation.engine->adapters.contains(operation.digest) != operation.isRemoval)
            return makeOrder(AdapterOrderKind::Confirm, operation.digest);
        if (observation.now - *operation.orderedAt < loadAcceptanceTime)
            return {};
        return makeOrder(AdapterOrderKind::Fail, operation.digest, operation.isRemoval ? "the engine did not unload the adapter" : "the engine did not load the adapter");
    }

    AdapterOrder continueOperation(const AdapterOperation& operation, const AdapterObservation& observation)
    {
        if (operation.engineIncarnation != observation.engine->incarnation)
            return makeOrder(AdapterOrderKind::Abandon, operation.digest, "the engine restarted");
        if (operation.orderedAt)
            return afterOrder(operation, observation);
        auto* adapter = findDeclared(observation.declared, operation.digest);
        if (!adapter)
            return makeOrder(AdapterOrderKind::Abandon, operation.digest, "the adapter is no longer declared");
        if (!isHeld(*adapter))
            return makeOrder(AdapterOrderKind::Abandon, operation.digest, "the chunks are no longer held");
        if (operation.nextChunk < adapter->progress.chunksTotal)
            return { AdapterOrderKind::SendChunk, operation.digest, operation.nextChunk, {} };
        return makeOrder(AdapterOrderKind::SendLoad, operation.digest);
    }

    bool isRetryDue(const AdapterState& adapters, const std::string& digest, Base::TimePoint now)
    {
        auto retry = adapters.retryAt.find(digest);
        return retry == adapters.retryAt.end() || now >= retry->second;
    }

} // namespace

AdapterOrder nextAdapterOrder(const ReplicaRecord& record, const AdapterObservation& observation)
{
    bool isReady = record.state.phase() == Membership::ReplicaPhase::Ready && observation.engine && observation.engine->serves(record.wanted.manifest);
    if (!isReady)
        return {};
    auto& adapters = record.adapters;
    if (!adapters.operation.digest.empty())
        return continueOperation(adapters.operation, observation);
    for (auto& digest : observation.engine->adapters) {
        if (!findDeclared(observation.declared, digest) && !observation.inUse.contains(digest) && isRetryDue(adapters, digest, observation.now))
            return makeOrder(AdapterOrderKind::SendUnload, digest, "the adapter is no longer declared");
    }
    for (auto& adapter : observation.declared) {
        if (!observation.engine->adapters.contains(adapter.digest) && isHeld(adapter) && isRetryDue(adapters, adapter.digest, observation.now))
            return makeOrder(AdapterOrderKind::SendManifest, adapter.digest, "the engine does not list the adapter");
    }
    return {};
}

bool hasSurplusAdapter(const EngineStatus& engine, const std::vector<DeclaredAdapter>& declared)
{
    return std::any_of(engine.adapters.begin(), engine.adapters.end(), [&](auto& digest) { return !findDeclared(declared, digest); });
}

} // namespace Lavenderloft::Placement::Queries
