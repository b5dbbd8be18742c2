#include "Placement/Queries/ServedPool.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    using Membership::Replica;
    using Membership::ReplicaPhase;

    Replica reportServed(const ServedWeights& served, bool isSwitching)
    {
        Replica replica;
        replica.pool = served.pool;
        replica.servingDigest = served.digest;
        replica.adapters = served.adapters;
        replica.phase = isSwitching ? ReplicaPhase::Loading : ReplicaPhase::Ready;
        return replica;
    }

    // Why an adapter is delayed; empty if none is.
    std::string adapterReason(const ReplicaRecord& record, const std::vector<DeclaredAdapter>& adapters)
    {
        if (!record.adapters.reason.empty())
            return record.adapters.reason;
        auto late = std::find_if(adapters.begin(), adapters.end(), [](auto& adapter) { return !adapter.progress.reason.empty(); });
        return late == adapters.end() ? std::string() : "adapter " + late->digest + ": " + late->progress.reason;
    }

    Replica reportWanted(const ReplicaRecord& record, const ServedWeights& served, const Weights::TransferProgress& progress, const std::vector<DeclaredAdapter>& adapters)
    {
        Replica replica;
        replica.pool = record.wanted.pool;
        if (served.pool == replica.pool) {
            replica.servingDigest = served.digest;
            replica.adapters = served.adapters;
        }
        if (record.wanted.manifest != replica.servingDigest)
            replica.wantedDigest = record.wanted.manifest;
        // A replica that grants no permits does not count as serving.
        replica.phase = record.unsettledLoad ? ReplicaPhase::Loading : record.state.phase();
        replica.chunksHeld = progress.chunksHeld;
        replica.chunksTotal = progress.chunksTotal;
        replica.reason = record.reason.empty() ? progress.reason : record.reason;
        if (replica.reason.empty())
            replica.reason = adapterReason(record, adapters);
        return replica;
    }

    std::vector<std::string> servedAdapters(const ReplicaRecord& record, const std::string& pool, const EngineStatus& engine)
    {
        std::vector<std::string> served;
        auto declared = record.adaptersOfPool.find(pool);
        if (declared != record.adaptersOfPool.end())
            std::set_intersection(engine.adapters.begin(), engine.adapters.end(), declared->second.begin(), declared->second.end(), std::back_inserter(served));
        return served;
    }

} // namespace

ServedWeights servedPool(const ReplicaRecord& record, const std::optional<EngineStatus>& engine)
{
    // A VM that must not serve accepts no requests, regardless of what its engine has loaded.
    if (!engine || !engine->isServing() || record.state.phase() == ReplicaPhase::Idle)
        return {};
    if (engine->digest == record.wanted.manifest)
        return { record.wanted.pool, engine->digest, servedAdapters(record, record.wanted.pool, *engine) };
    auto pool = record.poolOfManifest.find(engine->digest);
    if (pool == record.poolOfManifest.end())
        return {};
    return { pool->second, engine->digest, servedAdapters(record, pool->second, *engine) };
}

bool isSwitching(const ReplicaRecord& record)
{
    bool isUploading = record.state.phase() == ReplicaPhase::Loading && record.upload.hasStarted;
    return isUploading || record.unsettledLoad;
}

std::vector<Replica> reportedReplicas(const ReplicaRecord& record, const ServedWeights& served, const Weights::TransferProgress& progress, const std::vector<DeclaredAdapter>& adapters)
{
    std::vector<Replica> replicas;
    bool hasWanted = record.state.phase() != ReplicaPhase::Idle;
    if (!served.pool.empty() && (!hasWanted || served.pool != record.wanted.pool))
        replicas.push_back(reportServed(served, isSwitching(record)));
    if (hasWanted)
        replicas.push_back(reportWanted(record, served, progress, adapters));
    return replicas;
}

} // namespace Lavenderloft::Placement::Queries
