#include "Placement/Commands/SettleLoad.h"

#include "Placement/Queries/UnsettledLoad.h"

namespace Lavenderloft::Placement::Commands {

void recordLoadSent(ReplicaRecord& record, const EngineStatus& engine, uint64_t fence, Base::TimePoint now)
{
    record.unsettledLoad = UnsettledLoad { record.wanted.manifest, fence, engine.incarnation, now, now };
}

void recordLoadResult(ReplicaRecord& record, const Base::Result<Base::Done, EngineError>& result)
{
    if (Base::succeeded(result))
        return;
    auto kind = Base::errorOf(result).kind;
    if (kind == EngineErrorKind::Refused || kind == EngineErrorKind::StaleFence)
        record.unsettledLoad.reset();
}

void recordEngineStatus(ReplicaRecord& record, const EngineStatus& engine, Base::TimePoint now)
{
    if (record.unsettledLoad && Queries::isSettled(*record.unsettledLoad, engine, now))
        record.unsettledLoad.reset();
}

void recordVoidSent(ReplicaRecord& record, Base::TimePoint now)
{
    if (record.unsettledLoad)
        record.unsettledLoad->voidAt = now + retryDelay;
}

} // namespace Lavenderloft::Placement::Commands
