#include "Admission/Commands/ReserveKey.h"

#include "Admission/Events.h"
#include "Admission/Queries/KeyFreshness.h"
#include "Observability/Log.h"

#include <vector>

namespace Lavenderloft::Admission::Commands {

namespace {

    std::string nameOf(const AdmissionRequest& request)
    {
        return keyName(request.organisation, request.idempotencyKey);
    }

    Refusal refuseReplay(const KeyRecord& record)
    {
        if (record.state == KeyState::Reserved || record.state == KeyState::Running)
            return makeRefusal(RefusalReason::KeyRunning, "a call with this idempotency key is in progress", "resend later to get its response");
        if (record.state == KeyState::Complete)
            return makeRefusal(RefusalReason::KeyOutcomeUnknown, "the call with this idempotency key has run; its response was not stored", "check its effect at the service");
        return makeRefusal(RefusalReason::KeyOutcomeUnknown, "the service did not complete the call with this idempotency key", "check whether it took effect, and use a new key for a new call");
    }

    Replay makeReplay(const KeyRecord& record, const AdmissionRequest& request)
    {
        if (record.fingerprint != request.fingerprint)
            return makeRefusal(RefusalReason::KeyReused, "the idempotency key was used for a call with a different body", "use a new key for a new call");
        if (record.state == KeyState::Complete && record.response)
            return record.response;
        return refuseReplay(record);
    }

    bool reserveResponseBytes(IdempotencyKeyTable& table, size_t bytes)
    {
        if (table.responseBytes.fetch_add(bytes) + bytes <= table.maximumResponseBytes)
            return true;
        table.responseBytes -= bytes;
        return false;
    }

} // namespace

std::optional<Replay> findReplay(const IdempotencyKeyTable& table, const AdmissionRequest& request)
{
    auto record = table.records.find(nameOf(request));
    if (!record)
        return std::nullopt;
    return makeReplay(*record, request);
}

Base::Result<Base::Done, Refusal> reserveKey(IdempotencyKeyTable& table, const AdmissionRequest& request, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    if (auto refusal = Queries::checkKeyFreshness(table, request.idempotencyKey, resendWindow, clock))
        return *refusal;
    if (table.recordCount.fetch_add(1) >= table.maximumRecords) {
        --table.recordCount;
        return makeRefusal(RefusalReason::KeyMemoryFull, "the agent's table of idempotency keys is full", "retry later");
    }
    KeyRecord record;
    record.attemptId = request.attemptId;
    record.fingerprint = request.fingerprint;
    record.firstUsed = clock.now();
    record.firstUsedWall = clock.wallTime();
    auto name = nameOf(request);
    bool isNew = table.records.withShard(name, [&](auto& records) { return records.try_emplace(name, record).second; });
    if (isNew)
        return Base::Done {};
    --table.recordCount;
    return makeRefusal(RefusalReason::KeyRunning, "a call with this idempotency key is in progress", "resend later to get its response");
}

void updateHomes(IdempotencyKeyTable& table, const DesiredState::Service& service, const Base::Clock& clock)
{
    if (table.updateHomes(service.vms, { clock.now() + documentPropagationBound, clock.wallTime() + documentPropagationBound }))
        Observability::logEvent(keyHomesChanged, { { "service", service.name }, { "vms", service.vms.size() } });
}

void releaseKey(IdempotencyKeyTable& table, const AdmissionRequest& request)
{
    auto name = nameOf(request);
    bool released = table.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId)
            return false;
        if (entry->second.state != KeyState::Reserved && entry->second.state != KeyState::Running)
            return false;
        records.erase(entry);
        return true;
    });
    if (released)
        --table.recordCount;
}

void releaseReservation(IdempotencyKeyTable& table, const std::string& name, const std::string& attemptId)
{
    bool released = table.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.state != KeyState::Reserved || entry->second.attemptId != attemptId)
            return false;
        records.erase(entry);
        return true;
    });
    if (released)
        --table.recordCount;
}

bool markKeyRunning(IdempotencyKeyTable& table, const AdmissionRequest& request)
{
    auto name = nameOf(request);
    return table.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId || entry->second.state != KeyState::Reserved)
            return false;
        entry->second.state = KeyState::Running;
        return true;
    });
}

void recordKeyOutcome(IdempotencyKeyTable& table, const AdmissionRequest& request, KeyState state, StoredResponsePointer response, const Base::Clock& clock)
{
    if (response && (response->body.size() > maximumStoredResponseBytes || !reserveResponseBytes(table, response->body.size())))
        response = nullptr;
    auto name = nameOf(request);
    bool recorded = table.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId || entry->second.state != KeyState::Running)
            return false;
        entry->second.state = state;
        entry->second.endedAt = clock.now();
        entry->second.response = response;
        return true;
    });
    if (!recorded && response)
        table.responseBytes -= response->body.size();
}

void expireKeys(IdempotencyKeyTable& table, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    auto isOld = [&](const KeyRecord& record) {
        bool hasEnded = record.state == KeyState::Complete || record.state == KeyState::OutcomeUnknown;
        return hasEnded && clock.now() - record.endedAt > resendWindow;
    };
    auto erased = table.records.eraseIf([&](const std::string&, const KeyRecord& record) {
        if (!isOld(record))
            return false;
        // Advance the horizon before erasing the record, so that every call sees at least one of them.
        table.advanceHorizon(record);
        if (record.response)
            table.responseBytes -= record.response->body.size();
        return true;
    });
    table.recordCount -= erased;
}

} // namespace Lavenderloft::Admission::Commands
