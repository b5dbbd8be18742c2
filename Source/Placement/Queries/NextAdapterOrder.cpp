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

    AdapterOrder make(AdapterOrderKind kind, const std::string& digest, std::string reason = {})
    {
        return { kind, digest, 0, std::move(reason) };
    }

    AdapterOrder afterOrder(const AdapterStep& step, const AdapterObservation& seen)
    {
        if (seen.engine->adapters.contains(step.digest) != step.isRemoval)
            return make(AdapterOrderKind::Confirm, step.digest);
        if (seen.now - *step.orderedAt < loadAcceptanceTime)
            return {};
        return make(AdapterOrderKind::Fail, step.digest, step.isRemoval ? "the engine did not unload the adapter" : "the engine did not load the adapter");
    }

    AdapterOrder continueStep(const AdapterStep& step, const AdapterObservation& seen)
    {
        if (step.engineIncarnation != seen.engine->incarnation)
            return make(AdapterOrderKind::Abandon, step.digest, "the engine restarted");
        if (step.orderedAt)
            return afterOrder(step, seen);
        auto* adapter = findDeclared(seen.declared, step.digest);
        if (!adapter)
            return make(AdapterOrderKind::Abandon, step.digest, "the adapter is no longer declared");
        if (!isHeld(*adapter))
            return make(AdapterOrderKind::Abandon, step.digest, "the chunks are no longer held");
        if (step.nextChunk < adapter->progress.chunksTotal)
            return { AdapterOrderKind::SendChunk, step.digest, step.nextChunk, {} };
        return make(AdapterOrderKind::SendLoad, step.digest);
    }

    bool mayTry(const AdapterWork& work, const std::string& digest, Base::TimePoint now)
    {
        auto retry = work.retryAt.find(digest);
        return retry == work.retryAt.end() || now >= retry->second;
    }

} // namespace

AdapterOrder nextAdapterOrder(const ReplicaRecord& record, const AdapterObservation& seen)
{
    bool isReady = record.state.phase() == Membership::ReplicaPhase::Ready && seen.engine && seen.engine->serves(record.wanted.manifest);
    if (!isReady)
        return {};
    auto& work = record.adapters;
    if (!work.step.digest.empty())
        return continueStep(work.step, seen);
    for (auto& digest : seen.engine->adapters) {
        if (!findDeclared(seen.declared, digest) && !seen.inUse.contains(digest) && mayTry(work, digest, seen.now))
            return make(AdapterOrderKind::SendUnload, digest, "the adapter is no longer declared");
    }
    for (auto& adapter : seen.declared) {
        if (!seen.engine->adapters.contains(adapter.digest) && isHeld(adapter) && mayTry(work, adapter.digest, seen.now))
            return make(AdapterOrderKind::SendManifest, adapter.digest, "the engine does not list the adapter");
    }
    return {};
}

bool hasSurplusAdapter(const EngineStatus& engine, const std::vector<DeclaredAdapter>& declared)
{
    return std::any_of(engine.adapters.begin(), engine.adapters.end(), [&](auto& digest) { return !findDeclared(declared, digest); });
}

} // namespace Lavenderloft::Placement::Queries
