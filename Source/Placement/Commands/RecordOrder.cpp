#include "Placement/Commands/RecordOrder.h"

#include "Placement/Commands/SettleLoad.h"

namespace Lavenderloft::Placement::Commands {

namespace {

    using Queries::Observation;
    using Queries::Order;
    using Queries::OrderKind;

    // Bounds the memory for model versions of past documents.
    constexpr size_t maximumKnownManifests = 1024;

    void restart(ReplicaRecord& record, ReplicaEvent event, std::string reason)
    {
        record.state.apply(event);
        record.upload = {};
        record.adapters = {};
        record.reason = std::move(reason);
    }

    void adopt(ReplicaRecord& record, const DesiredReplica& desired)
    {
        record.wanted = desired;
        restart(record, ReplicaEvent::Wanted, {});
    }

    void recordSent(ReplicaRecord& record, const Order& order, const Observation& observation)
    {
        auto& upload = record.upload;
        upload.engineIncarnation = observation.engine->incarnation;
        if (order.kind == OrderKind::SendManifest)
            upload.isManifestSent = true;
        else if (order.kind == OrderKind::SendChunk)
            upload.nextChunk = order.chunk + 1;
        else
            upload.loadOrderedAt = observation.now;
    }

} // namespace

std::optional<DesiredReplica> debounceAssignment(ReplicaRecord& record, const std::optional<DesiredReplica>& desired, Base::TimePoint now)
{
    if (record.proposed != desired) {
        bool isSamePool = record.proposed && desired && record.proposed->pool == desired->pool;
        record.proposed = desired;
        if (!isSamePool)
            record.proposedSince = now;
    }
    if (now - record.proposedSince >= assignmentSettleTime)
        return desired;
    if (record.state.phase() == Membership::ReplicaPhase::Idle)
        return std::nullopt;
    return record.wanted;
}

void recordDocument(ReplicaRecord& record, const DesiredState::Document& document)
{
    if (record.poolOfManifest.size() > maximumKnownManifests)
        record.poolOfManifest.clear();
    record.adaptersOfPool.clear();
    for (auto& pool : document.pools) {
        record.poolOfManifest[pool.manifest] = pool.name;
        record.adaptersOfPool[pool.name] = { pool.adapters.begin(), pool.adapters.end() };
    }
}

void recordOrderExecuted(ReplicaRecord& record, const Order& order, const Observation& observation)
{
    switch (order.kind) {
    case OrderKind::None:
        return;
    case OrderKind::Adopt:
        return adopt(record, *observation.desired);
    case OrderKind::Release:
        record.wanted = {};
        return restart(record, ReplicaEvent::Released, {});
    case OrderKind::MarkFetched:
        record.state.apply(ReplicaEvent::Fetched);
        return;
    case OrderKind::Claim:
        record.claimedAt = observation.now;
        record.upload = {};
        record.state.apply(ReplicaEvent::Claimed);
        return;
    case OrderKind::Withdraw:
        return restart(record, ReplicaEvent::Withdrawn, {});
    case OrderKind::BeginUpload:
        record.upload.hasStarted = true;
        return;
    case OrderKind::SendManifest:
    case OrderKind::SendChunk:
    case OrderKind::SendLoad:
        return recordSent(record, order, observation);
    case OrderKind::Confirm:
        return restart(record, ReplicaEvent::Confirmed, {});
    case OrderKind::Repair:
        return restart(record, ReplicaEvent::Drifted, order.reason);
    case OrderKind::Fail:
        record.retryAt = observation.now + retryDelay;
        return restart(record, ReplicaEvent::Failed, order.reason);
    case OrderKind::Retry:
        return restart(record, ReplicaEvent::Retried, record.reason);
    case OrderKind::VoidLoad:
        return recordVoidSent(record, observation.now);
    }
}

void recordOrderFailed(ReplicaRecord& record, const std::string& reason, Base::TimePoint now)
{
    record.retryAt = now + retryDelay;
    restart(record, ReplicaEvent::Failed, reason);
}

void dropOrders(ReplicaRecord& record)
{
    record.adapters.operation = {};
    if (record.state.phase() == Membership::ReplicaPhase::Loading)
        restart(record, ReplicaEvent::Drifted, "the process was paused");
}

} // namespace Lavenderloft::Placement::Commands
