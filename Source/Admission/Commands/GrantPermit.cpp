#include "Admission/Commands/GrantPermit.h"

namespace Lavenderloft::Admission::Commands {

namespace {

    Permit makePermit(const PermitTable& table, const AdmissionRequest& request, const Base::Clock& clock, Base::RandomSource& random)
    {
        Permit permit;
        permit.id = random.nextIdentifier();
        permit.attemptId = request.attemptId;
        permit.agentIncarnation = table.agentIncarnation;
        permit.engineIncarnation = table.engineIncarnation;
        permit.expiresAt = clock.now() + permitLifetime;
        permit.bodyBytes = request.bodyBytes;
        permit.fingerprint = request.fingerprint;
        permit.adapter = request.adapter;
        return permit;
    }

} // namespace

Base::Result<Permit, Refusal> grantPermit(PermitTable& table, const AdmissionRequest& request, const Base::Clock& clock, Base::RandomSource& random)
{
    // Read before the slot is acquired, so that a revocation in between also invalidates this permit.
    auto epoch = table.epoch.load();
    if (!table.occupancy.tryAcquire(request.bodyBytes))
        return makeRefusal(RefusalReason::AtLimit, "the target is at its limit", "try another target or retry later");
    auto permit = makePermit(table, request, clock, random);
    permit.epoch = epoch;
    bool isNew = table.attempts.withShard(request.attemptId, [&](auto& records) {
        return records.try_emplace(request.attemptId, AttemptRecord { AttemptState::Granted, permit, clock.now() }).second;
    });
    if (isNew)
        return permit;
    table.occupancy.release(request.bodyBytes);
    return makeRefusal(RefusalReason::PermitExpired, "attempt " + request.attemptId + " was already revoked or used", "use a new attempt ID");
}

} // namespace Lavenderloft::Admission::Commands
