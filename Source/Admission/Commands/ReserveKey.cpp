#include "Admission/Commands/ReserveKey.h"

#include "Admission/Events.h"
#include "Admission/Queries/KeyVouching.h"
#include "Observability/Log.h"

#include <vector>

namespace Lavenderloft::Admission::Commands {

namespace {

    std::string nameOf(const AdmissionRequest& request)
    {
        return keyName(request.organisation, request.idempotencyKey);
    }

    Refusal refuseKnown(const KeyRecord& record)
    {
        if (record.state == KeyState::Reserved || record.state == KeyState::Running)
            return makeRefusal(RefusalReason::KeyRunning, "a call with this idempotency key is under way", "resend later to get its answer");
        if (record.state == KeyState::Complete)
            return makeRefusal(RefusalReason::KeyOutcomeUnknown, "the call with this idempotency key has run; its answer was not kept", "look up its effect at the service");
        return makeRefusal(RefusalReason::KeyOutcomeUnknown, "the service broke off during the call with this idempotency key", "find out whether it took effect, and use a new key for a new call");
    }

    KnownCall describeKnown(const KeyRecord& record, const AdmissionRequest& request)
    {
        if (record.fingerprint != request.fingerprint)
            return makeRefusal(RefusalReason::KeyReused, "the idempotency key was used for a call with another body", "use a new key for a new call");
        if (record.state == KeyState::Complete && record.answer)
            return record.answer;
        return refuseKnown(record);
    }

    bool takeAnswerBytes(IdempotencyKeyTable& memory, size_t bytes)
    {
        if (memory.answerBytes.fetch_add(bytes) + bytes <= memory.maximumAnswerBytes)
            return true;
        memory.answerBytes -= bytes;
        return false;
    }

} // namespace

std::optional<KnownCall> recallKey(const IdempotencyKeyTable& memory, const AdmissionRequest& request)
{
    auto record = memory.records.find(nameOf(request));
    if (!record)
        return std::nullopt;
    return describeKnown(*record, request);
}

Base::Result<Base::Done, Refusal> reserveKey(IdempotencyKeyTable& memory, const AdmissionRequest& request, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    if (auto refusal = Queries::findVouchingRefusal(memory, request.idempotencyKey, resendWindow, clock))
        return *refusal;
    if (memory.recordCount.fetch_add(1) >= memory.maximumRecords) {
        --memory.recordCount;
        return makeRefusal(RefusalReason::KeyMemoryFull, "the agent's memory of idempotency keys is full", "retry later");
    }
    KeyRecord record;
    record.attemptId = request.attemptId;
    record.fingerprint = request.fingerprint;
    record.firstUsed = clock.now();
    record.firstUsedWall = clock.wallTime();
    auto name = nameOf(request);
    bool isNew = memory.records.withShard(name, [&](auto& records) { return records.try_emplace(name, record).second; });
    if (isNew)
        return Base::Done {};
    --memory.recordCount;
    return makeRefusal(RefusalReason::KeyRunning, "a call with this idempotency key is under way", "resend later to get its answer");
}

void updateHomes(IdempotencyKeyTable& memory, const DesiredState::Service& service, const Base::Clock& clock)
{
    if (memory.updateHomes(service.vms, { clock.now() + documentSpreadBound, clock.wallTime() + documentSpreadBound }))
        Observability::logEvent(keyHomesChanged, { { "service", service.name }, { "vms", service.vms.size() } });
}

void releaseKey(IdempotencyKeyTable& memory, const AdmissionRequest& request)
{
    auto name = nameOf(request);
    bool released = memory.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId)
            return false;
        if (entry->second.state != KeyState::Reserved && entry->second.state != KeyState::Running)
            return false;
        records.erase(entry);
        return true;
    });
    if (released)
        --memory.recordCount;
}

void releaseReservation(IdempotencyKeyTable& memory, const std::string& name, const std::string& attemptId)
{
    bool released = memory.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.state != KeyState::Reserved || entry->second.attemptId != attemptId)
            return false;
        records.erase(entry);
        return true;
    });
    if (released)
        --memory.recordCount;
}

bool startKey(IdempotencyKeyTable& memory, const AdmissionRequest& request)
{
    auto name = nameOf(request);
    return memory.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId || entry->second.state != KeyState::Reserved)
            return false;
        entry->second.state = KeyState::Running;
        return true;
    });
}

void settleKey(IdempotencyKeyTable& memory, const AdmissionRequest& request, KeyState state, StoredResponsePointer answer, const Base::Clock& clock)
{
    if (answer && (answer->body.size() > maximumStoredResponseBytes || !takeAnswerBytes(memory, answer->body.size())))
        answer = nullptr;
    auto name = nameOf(request);
    bool settled = memory.records.withShard(name, [&](auto& records) {
        auto entry = records.find(name);
        if (entry == records.end() || entry->second.attemptId != request.attemptId || entry->second.state != KeyState::Running)
            return false;
        entry->second.state = state;
        entry->second.endedAt = clock.now();
        entry->second.answer = answer;
        return true;
    });
    if (!settled && answer)
        memory.answerBytes -= answer->body.size();
}

void forgetKeys(IdempotencyKeyTable& memory, std::chrono::milliseconds resendWindow, const Base::Clock& clock)
{
    auto isOld = [&](const KeyRecord& record) {
        bool hasEnded = record.state == KeyState::Complete || record.state == KeyState::OutcomeUnknown;
        return hasEnded && clock.now() - record.endedAt > resendWindow;
    };
    auto erased = memory.records.eraseIf([&](const std::string&, const KeyRecord& record) {
        if (!isOld(record))
            return false;
        // The horizon moves before the record goes, so that no call sees neither.
        memory.forgetUpTo(record);
        if (record.answer)
            memory.answerBytes -= record.answer->body.size();
        return true;
    });
    memory.recordCount -= erased;
}

} // namespace Lavenderloft::Admission::Commands
