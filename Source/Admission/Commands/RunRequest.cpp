#include "Admission/Commands/RunRequest.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/CompleteRequest.h"
#include "Admission/Commands/ConsumePermit.h"
#include "Admission/Commands/QueueRequest.h"
#include "Admission/Commands/RevokePermit.h"
#include "Admission/Queries/AttemptOutcome.h"
#include "Admission/Queries/CurrentLimit.h"

#include <unordered_set>

namespace Lavenderloft::Admission::Commands {

namespace {

    struct Reservation {
        std::string name;
        std::string attemptId;
    };

    std::vector<Reservation> findReservations(const IdempotencyKeyTable& keys)
    {
        std::vector<Reservation> reservations;
        keys.records.forEach([&](const std::string& name, const KeyRecord& record) {
            if (record.state == KeyState::Reserved)
                reservations.push_back({ name, record.attemptId });
        });
        return reservations;
    }

    // Releases the keys reserved by attempts whose permits were revoked or expired.
    void releaseRevokedKeys(TargetState& state)
    {
        for (auto& reservation : findReservations(state.keys)) {
            auto attempt = state.permits.attempts.find(reservation.attemptId);
            if (attempt && attempt->state == AttemptState::NotRun)
                releaseReservation(state.keys, reservation.name, reservation.attemptId);
        }
    }

    KeyState keyStateOf(AttemptState state)
    {
        return state == AttemptState::Complete ? KeyState::Complete : KeyState::OutcomeUnknown;
    }

} // namespace

Base::Result<Base::Done, Refusal> startRequest(TargetState& state, const AdmissionRequest& request, const std::string& permitId, const Base::Clock& clock)
{
    auto consumed = consumePermit(state.permits, request.attemptId, permitId, clock);
    if (!Base::succeeded(consumed)) {
        releaseKey(state.keys, request);
        return consumed;
    }
    if (request.idempotencyKey.empty() || request.repeatable || markKeyRunning(state.keys, request))
        return Base::Done {};
    completeRequest(state.permits, request.attemptId, AttemptState::NotRun, clock);
    return makeRefusal(RefusalReason::PermitExpired, "the reservation of the idempotency key has expired", "request a new permit");
}

void finishRequest(TargetState& state, const AdmissionRequest& request, const RunResult& result, const Base::Clock& clock)
{
    if (auto attempt = state.permits.attempts.find(request.attemptId); attempt && result.state == AttemptState::Complete && result.isSuccess)
        observeCompletion(state.limit, clock.now() - attempt->changedAt);
    if (!request.idempotencyKey.empty() && !request.repeatable) {
        if (result.state == AttemptState::NotRun)
            releaseKey(state.keys, request);
        else
            recordKeyOutcome(state.keys, request, keyStateOf(result.state), result.response, clock);
    }
    completeRequest(state.permits, request.attemptId, result.state, clock);
}

void withdrawAttempt(TargetState& state, const AdmissionRequest& request, const Base::Clock& clock)
{
    withdrawRequest(state.queue, request);
    // With an empty permit ID, the attempt is recorded as not run even if it is unknown.
    revokePermit(state.permits, request.attemptId, {}, clock);
    auto attempt = state.permits.attempts.find(request.attemptId);
    if (!attempt || attempt->state == AttemptState::NotRun)
        releaseKey(state.keys, request);
}

void expireRecords(TargetState& state, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    expirePermits(state.permits, clock);
    releaseRevokedKeys(state);
    refuseExpired(state.queue, clock.now());
    closeWindow(state.limit, clock.now());
    applyLimit(state);
    expireKeys(state.keys, resendWindow, clock);
}

std::vector<uint64_t> applyEngineCondition(TargetState& state, const EngineCondition& condition, const Base::Clock& clock)
{
    auto before = state.limit.data();
    auto& previous = before.engine;
    observeEngine(state.limit, condition, clock.now());
    applyLimit(state);
    bool restarted = previous.incarnation != condition.incarnation;
    std::vector<uint64_t> crashed;
    // Requests may break off before the poll that reports the new incarnation.
    if (restarted && previous.incarnation)
        crashed = Queries::fingerprintsRunningSince(state.permits, before.engineSeenAt);
    state.permits.engineIncarnation = condition.incarnation;
    bool turnedCold = previous.isWarm && !condition.isWarm;
    bool becameUnusable = previous.isUsable && !condition.isUsable;
    if (restarted || turnedCold || becameUnusable || previous.digest != condition.digest)
        invalidatePermits(state, clock);
    return crashed;
}

void invalidatePermits(TargetState& state, const Base::Clock& clock)
{
    revokeAllPermits(state.permits, clock);
    releaseRevokedKeys(state);
}

void applyLimit(TargetState& state)
{
    state.permits.occupancy.setLimit(Queries::currentLimit(state.limit));
}

} // namespace Lavenderloft::Admission::Commands
