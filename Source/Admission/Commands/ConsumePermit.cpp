#include "Admission/Commands/ConsumePermit.h"

namespace Lavenderloft::Admission::Commands {

namespace {

    enum class PermitCheck {
        Valid,
        Unknown,
        Expired,
    };

} // namespace

Base::Result<Base::Done, Refusal> consumePermit(PermitTable& table, const std::string& attemptId, const std::string& permitId, const Base::Clock& clock)
{
    uint64_t freedBytes = 0;
    auto check = table.attempts.withShard(attemptId, [&](auto& records) {
        auto entry = records.find(attemptId);
        if (entry == records.end() || entry->second.state != AttemptState::Granted || entry->second.permit.id != permitId)
            return PermitCheck::Unknown;
        auto& record = entry->second;
        record.changedAt = clock.now();
        if (clock.now() < record.permit.expiresAt && record.permit.engineIncarnation == table.engineIncarnation && record.permit.epoch == table.epoch) {
            record.state = AttemptState::Running;
            return PermitCheck::Valid;
        }
        record.state = AttemptState::NotRun;
        freedBytes = record.permit.bodyBytes;
        return PermitCheck::Expired;
    });
    if (check == PermitCheck::Valid)
        return Base::Done {};
    if (check == PermitCheck::Expired)
        table.occupancy.release(freedBytes);
    return makeRefusal(RefusalReason::PermitExpired, "the permit of attempt " + attemptId + " has expired, was revoked or was already used", "request a new permit");
}

} // namespace Lavenderloft::Admission::Commands
