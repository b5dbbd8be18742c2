#include "Placement/Queries/NextOrder.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    using Membership::ReplicaPhase;

    Order make(OrderKind kind, std::string reason = {})
    {
        return { kind, 0, std::move(reason) };
    }

    Order whileFetching(const Observation& seen)
    {
        if (seen.progress.status == Weights::TransferStatus::Complete)
            return make(OrderKind::MarkFetched);
        if (seen.progress.status == Weights::TransferStatus::Failed)
            return make(OrderKind::Fail, seen.progress.reason);
        return {};
    }

    Order whileWaiting(const Observation& seen)
    {
        if (seen.progress.status != Weights::TransferStatus::Complete)
            return make(OrderKind::Repair, "the chunks are no longer held");
        return make(seen.maySwitch ? OrderKind::Claim : OrderKind::None);
    }

    Order beforeUpload(const ReplicaRecord& record, const Observation& seen)
    {
        if (!seen.claimStands)
            return make(OrderKind::Withdraw);
        // If the engine serves nothing, the switch reduces no capacity and need not wait for the claim to propagate.
        if (seen.engine->isServing() && seen.now - record.claimedAt < claimSettleTime)
            return {};
        return make(OrderKind::BeginUpload);
    }

    Order afterLoadOrder(const ReplicaRecord& record, const Observation& seen)
    {
        bool isAccepted = seen.engine->mode == EngineMode::Loading;
        if (isAccepted || seen.now - *record.upload.loadOrderedAt < loadAcceptanceTime)
            return {};
        return make(OrderKind::Repair, "the engine did not load the weights");
    }

    Order whileLoading(const ReplicaRecord& record, const Observation& seen)
    {
        auto& upload = record.upload;
        if (!upload.isBegun)
            return beforeUpload(record, seen);
        if (upload.engineIncarnation && upload.engineIncarnation != seen.engine->incarnation)
            return make(OrderKind::Repair, "the engine restarted during the upload");
        if (upload.loadOrderedAt)
            return afterLoadOrder(record, seen);
        if (seen.running || seen.engine->running || seen.engine->queued)
            return {};
        if (seen.progress.status != Weights::TransferStatus::Complete)
            return make(OrderKind::Repair, "the chunks are no longer held");
        if (!upload.isManifestSent)
            return make(OrderKind::SendManifest);
        if (upload.nextChunk < seen.progress.chunksTotal)
            return { OrderKind::SendChunk, upload.nextChunk, {} };
        return make(OrderKind::SendLoad);
    }

} // namespace

Order nextOrder(const ReplicaRecord& record, const Observation& seen)
{
    auto phase = record.state.phase();
    if (!seen.desired)
        return make(phase != ReplicaPhase::Idle && seen.mayRelease ? OrderKind::Release : OrderKind::None);
    if (phase == ReplicaPhase::Idle || record.wanted != *seen.desired)
        return make(OrderKind::Adopt);
    if (phase == ReplicaPhase::Failed)
        return make(seen.now >= record.retryAt ? OrderKind::Retry : OrderKind::None);
    if (!seen.engine)
        return phase == ReplicaPhase::Fetching ? whileFetching(seen) : Order {};
    bool isServed = seen.engine->serves(record.wanted.manifest);
    if (phase == ReplicaPhase::Ready)
        return isServed ? Order {} : make(OrderKind::Repair, "the engine no longer serves the weights");
    if (isServed)
        return make(OrderKind::Confirm);
    if (phase == ReplicaPhase::Fetching)
        return whileFetching(seen);
    if (phase == ReplicaPhase::Waiting)
        return whileWaiting(seen);
    return whileLoading(record, seen);
}

uint64_t nextFence(const ReplicaRecord& record, const EngineStatus& engine, Base::WallTime now)
{
    auto clock = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    return std::max({ static_cast<uint64_t>(clock), engine.highestFence + 1, record.lastFence + 1 });
}

} // namespace Lavenderloft::Placement::Queries
