#include "Placement/Commands/ApplyAdapterOrder.h"

namespace Lavenderloft::Placement::Commands {

namespace {

    using Queries::AdapterObservation;
    using Queries::AdapterOrder;
    using Queries::AdapterOrderKind;

    // Bounds the memory for retry times of failed adapters.
    constexpr size_t maximumFailures = 1024;

    void noteSent(AdapterStep& step, const AdapterOrder& order, const AdapterObservation& seen)
    {
        step.digest = order.digest;
        step.isRemoval = order.kind == AdapterOrderKind::SendUnload;
        step.engineIncarnation = seen.engine->incarnation;
        if (order.kind == AdapterOrderKind::SendChunk)
            step.nextChunk = order.chunk + 1;
        else if (order.kind != AdapterOrderKind::SendManifest)
            step.orderedAt = seen.now;
    }

} // namespace

void noteAdapterDone(ReplicaRecord& record, const AdapterOrder& order, const AdapterObservation& seen)
{
    auto& work = record.adapters;
    switch (order.kind) {
    case AdapterOrderKind::None:
        return;
    case AdapterOrderKind::SendManifest:
    case AdapterOrderKind::SendChunk:
    case AdapterOrderKind::SendLoad:
    case AdapterOrderKind::SendUnload:
        return noteSent(work.step, order, seen);
    case AdapterOrderKind::Confirm:
        work.retryAt.erase(order.digest);
        if (work.retryAt.empty())
            work.reason.clear();
        work.step = {};
        return;
    case AdapterOrderKind::Abandon:
        work.step = {};
        return;
    case AdapterOrderKind::Fail:
        return noteAdapterRefused(record, order, order.reason, seen.now);
    }
}

void noteAdapterRefused(ReplicaRecord& record, const AdapterOrder& order, const std::string& reason, Base::TimePoint now)
{
    auto& work = record.adapters;
    if (work.retryAt.size() > maximumFailures)
        work.retryAt.clear();
    work.retryAt[order.digest] = now + retryDelay;
    work.reason = "adapter " + order.digest + ": " + reason;
    work.step = {};
}

} // namespace Lavenderloft::Placement::Commands
