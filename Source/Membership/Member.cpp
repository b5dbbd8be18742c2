#include "Membership/Member.h"

namespace Lavenderloft::Membership {

namespace {

    // Only phases that other data centres act on are shared. Failed is one of them, so that replicas of other
    // data centres do not wait for a replica that cannot load the new weights.
    ReplicaPhase sharedPhase(ReplicaPhase phase)
    {
        switch (phase) {
        case ReplicaPhase::Loading:
        case ReplicaPhase::Failed:
            return phase;
        default:
            return ReplicaPhase::Idle;
        }
    }

} // namespace

Member Member::sharedPart() const
{
    Member shared;
    shared.vm = vm;
    shared.address = address;
    shared.dataCentre = dataCentre;
    shared.region = region;
    shared.role = role;
    shared.status = status;
    shared.incarnation = incarnation;
    shared.hasDetail = false;
    shared.sharedVersion = sharedVersion;
    shared.replicas.reserve(replicas.size());
    for (auto& replica : replicas) {
        auto& entry = shared.replicas.emplace_back();
        entry.pool = replica.pool;
        entry.servingDigest = replica.servingDigest;
        entry.phase = sharedPhase(replica.phase);
        entry.adapters = replica.adapters;
    }
    return shared;
}

} // namespace Lavenderloft::Membership
