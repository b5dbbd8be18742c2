#include "Placement/Queries/NextOrder.h"

#include "Placement/Queries/UnsettledLoad.h"

#include <algorithm>

namespace Lavenderloft::Placement::Queries {

namespace {

    using Membership::ReplicaPhase;

    Order makeOrder(OrderKind kind, std::string reason = {})
    {
        return { kind, 0, std::move(reason) };
    }

    Order whileFetching(const Observation& observation)
    {
        if (observation.progress.status == Weights::TransferStatus::Complete)
            return makeOrder(OrderKind::MarkFetched);
        if (observation.progress.status == Weights::TransferStatus::Failed)
            return makeOrder(OrderKind::Fail, observation.progress.reason);
        return {};
    }

    Order whileWaiting(const Observation& observation)
    {
        if (observation.progress.status != Weights::TransferStatus::Complete)
            return makeOrder(OrderKind::Repair, "the chunks are no longer held");
        return makeOrder(observation.maySwitch ? OrderKind::Claim : OrderKind::None);
    }

    Order beforeUpload(const ReplicaRecord& record, const Observation& observation)
    {
        if (!observation.isClaimValid)
            return makeOrder(OrderKind::Withdraw);
        // If the engine serves nothing, the switch reduces no capacity and need not wait for the claim to propagate.
        if (observation.engine->isServing() && observation.now - record.claimedAt < claimSettleTime)
            return {};
        return makeOrder(OrderKind::BeginUpload);
    }

    Order afterLoadOrder(const ReplicaRecord& record, const Observation& observation)
    {
        bool isAccepted = observation.engine->mode == EngineMode::Loading;
        if (isAccepted || observation.now - *record.upload.loadOrderedAt < loadAcceptanceTime)
            return {};
        return makeOrder(OrderKind::Repair, "the engine did not load the weights");
    }

    Order whileLoading(const ReplicaRecord& record, const Observation& observation)
    {
        auto& upload = record.upload;
        if (!upload.hasStarted)
            return beforeUpload(record, observation);
        if (upload.engineIncarnation && upload.engineIncarnation != observation.engine->incarnation)
            return makeOrder(OrderKind::Repair, "the engine restarted during the upload");
        if (upload.loadOrderedAt)
            return afterLoadOrder(record, observation);
        if (observation.running || observation.engine->running || observation.engine->queued)
            return {};
        if (observation.progress.status != Weights::TransferStatus::Complete)
            return makeOrder(OrderKind::Repair, "the chunks are no longer held");
        if (!upload.isManifestSent)
            return makeOrder(OrderKind::SendManifest);
        if (upload.nextChunk < observation.progress.chunksTotal)
            return { OrderKind::SendChunk, upload.nextChunk, {} };
        return makeOrder(OrderKind::SendLoad);
    }

    Order nextStep(const ReplicaRecord& record, const Observation& observation)
    {
        auto phase = record.state.phase();
        if (!observation.desired)
            return makeOrder(phase != ReplicaPhase::Idle && observation.mayRelease ? OrderKind::Release : OrderKind::None);
        if (phase == ReplicaPhase::Idle || record.wanted != *observation.desired)
            return makeOrder(OrderKind::Adopt);
        if (phase == ReplicaPhase::Failed)
            return makeOrder(observation.now >= record.retryAt ? OrderKind::Retry : OrderKind::None);
        if (!observation.engine)
            return phase == ReplicaPhase::Fetching ? whileFetching(observation) : Order {};
        bool isServed = observation.engine->serves(record.wanted.manifest);
        if (phase == ReplicaPhase::Ready)
            return isServed ? Order {} : makeOrder(OrderKind::Repair, "the engine no longer serves the weights");
        if (isServed)
            return makeOrder(OrderKind::Confirm);
        if (phase == ReplicaPhase::Fetching)
            return whileFetching(observation);
        if (phase == ReplicaPhase::Waiting)
            return whileWaiting(observation);
        return whileLoading(record, observation);
    }

} // namespace

Order nextOrder(const ReplicaRecord& record, const Observation& observation)
{
    auto order = nextStep(record, observation);
    if (order.kind == OrderKind::None && isVoidDue(record, observation))
        return makeOrder(OrderKind::VoidLoad, "the effect of a load order is not known");
    return order;
}

uint64_t nextFence(const ReplicaRecord& record, const EngineStatus& engine, Base::WallTime now)
{
    auto clock = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
    return std::max({ static_cast<uint64_t>(clock), engine.highestFence + 1, record.lastFence + 1 });
}

} // namespace Lavenderloft::Placement::Queries
