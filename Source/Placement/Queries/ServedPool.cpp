#include "Placement/Queries/ServedPool.h"

namespace Lavenderloft::Placement::Queries {

namespace {

    using Membership::Replica;
    using Membership::ReplicaPhase;

    Replica reportServed(const Served& served, bool isSwitching)
    {
        Replica replica;
        replica.pool = served.pool;
        replica.servingDigest = served.digest;
        replica.phase = isSwitching ? ReplicaPhase::Loading : ReplicaPhase::Ready;
        return replica;
    }

    Replica reportWanted(const ReplicaRecord& record, const Served& served, const Weights::TransferProgress& progress)
    {
        Replica replica;
        replica.pool = record.wanted.pool;
        if (served.pool == replica.pool)
            replica.servingDigest = served.digest;
        if (record.wanted.manifest != replica.servingDigest)
            replica.wantedDigest = record.wanted.manifest;
        replica.phase = record.state.phase();
        replica.chunksHeld = progress.chunksHeld;
        replica.chunksTotal = progress.chunksTotal;
        replica.reason = record.reason.empty() ? progress.reason : record.reason;
        return replica;
    }

} // namespace

Served servedPool(const ReplicaRecord& record, const std::optional<EngineStatus>& engine)
{
    // A VM that is to serve nothing takes no requests, whatever its engine holds.
    if (!engine || !engine->isServing() || record.state.phase() == ReplicaPhase::Idle)
        return {};
    if (engine->digest == record.wanted.manifest)
        return { record.wanted.pool, engine->digest };
    auto pool = record.poolOfManifest.find(engine->digest);
    if (pool == record.poolOfManifest.end())
        return {};
    return { pool->second, engine->digest };
}

bool isSwitching(const ReplicaRecord& record)
{
    return record.state.phase() == ReplicaPhase::Loading && record.upload.isBegun;
}

std::vector<Replica> reportedReplicas(const ReplicaRecord& record, const Served& served, const Weights::TransferProgress& progress)
{
    std::vector<Replica> replicas;
    bool hasWanted = record.state.phase() != ReplicaPhase::Idle;
    if (!served.pool.empty() && (!hasWanted || served.pool != record.wanted.pool))
        replicas.push_back(reportServed(served, isSwitching(record)));
    if (hasWanted)
        replicas.push_back(reportWanted(record, served, progress));
    return replicas;
}

} // namespace Lavenderloft::Placement::Queries
