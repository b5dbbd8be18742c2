#include "Placement/Queries/UnsettledLoad.h"

namespace Lavenderloft::Placement::Queries {

namespace {

    // An engine that reports no fencing tokens does not tell whether it has received an order: after this time the order
    // counts as lost.
    constexpr std::chrono::seconds maximumDeliveryTime { 30 };

    bool reportsFences(const EngineStatus& engine)
    {
        return engine.checksFence && engine.highestFence > 0;
    }

    bool isLoadingOrLoaded(const EngineStatus& engine, const std::string& digest)
    {
        return engine.mode != EngineMode::Empty && engine.digest == digest;
    }

} // namespace

bool isSettled(const UnsettledLoad& load, const EngineStatus& engine, Base::TimePoint now)
{
    // A restarted engine has lost the chunks without which it accepts no load order.
    if (engine.incarnation != load.engineIncarnation || isLoadingOrLoaded(engine, load.manifest))
        return true;
    if (reportsFences(engine))
        return engine.highestFence >= load.fence;
    return now - load.sentAt >= maximumDeliveryTime;
}

bool isVoidDue(const ReplicaRecord& record, const Observation& observation)
{
    if (!record.unsettledLoad || !observation.desired || !observation.engine || !observation.engine->checksFence)
        return false;
    // The orders of an upload void earlier ones, and its own load order must not be voided.
    bool isUploading = record.state.phase() == Membership::ReplicaPhase::Loading && record.upload.hasStarted;
    return !isUploading && observation.now >= record.unsettledLoad->voidAt;
}

} // namespace Lavenderloft::Placement::Queries
