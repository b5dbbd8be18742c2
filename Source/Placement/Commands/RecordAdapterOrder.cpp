#include "Placement/Commands/RecordAdapterOrder.h"

namespace Lavenderloft::Placement::Commands {

namespace {

    using Queries::AdapterObservation;
    using Queries::AdapterOrder;
    using Queries::AdapterOrderKind;

    // Bounds the memory for retry times of failed adapters.
    constexpr size_t maximumRetryTimes = 1024;

    void recordSent(AdapterOperation& operation, const AdapterOrder& order, const AdapterObservation& observation)
    {
        operation.digest = order.digest;
        operation.isRemoval = order.kind == AdapterOrderKind::SendUnload;
        operation.engineIncarnation = observation.engine->incarnation;
        if (order.kind == AdapterOrderKind::SendChunk)
            operation.nextChunk = order.chunk + 1;
        else if (order.kind != AdapterOrderKind::SendManifest)
            operation.orderedAt = observation.now;
    }

} // namespace

void recordAdapterOrderExecuted(ReplicaRecord& record, const AdapterOrder& order, const AdapterObservation& observation)
{
    auto& adapters = record.adapters;
    switch (order.kind) {
    case AdapterOrderKind::None:
        return;
    case AdapterOrderKind::SendManifest:
    case AdapterOrderKind::SendChunk:
    case AdapterOrderKind::SendLoad:
    case AdapterOrderKind::SendUnload:
        return recordSent(adapters.operation, order, observation);
    case AdapterOrderKind::Confirm:
        adapters.retryAt.erase(order.digest);
        if (adapters.retryAt.empty())
            adapters.reason.clear();
        adapters.operation = {};
        return;
    case AdapterOrderKind::Abandon:
        adapters.operation = {};
        return;
    case AdapterOrderKind::Fail:
        return recordAdapterOrderFailed(record, order, order.reason, observation.now);
    }
}

void recordAdapterOrderFailed(ReplicaRecord& record, const AdapterOrder& order, const std::string& reason, Base::TimePoint now)
{
    auto& adapters = record.adapters;
    if (adapters.retryAt.size() > maximumRetryTimes)
        adapters.retryAt.clear();
    adapters.retryAt[order.digest] = now + retryDelay;
    adapters.reason = "adapter " + order.digest + ": " + reason;
    adapters.operation = {};
}

} // namespace Lavenderloft::Placement::Commands
