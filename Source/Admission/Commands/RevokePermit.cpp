#include "Admission/Commands/RevokePermit.h"

namespace Lavenderloft::Admission::Commands {

namespace {

    bool isEnded(const AttemptRecord& record)
    {
        return record.state != AttemptState::Granted && record.state != AttemptState::Running;
    }

    // IDs of the attempts with an unused permit that satisfy the predicate.
    template <typename Predicate>
    std::vector<std::string> findUnused(const PermitTable& table, Predicate&& predicate)
    {
        std::vector<std::string> found;
        table.attempts.forEach([&](const std::string& attemptId, const AttemptRecord& record) {
            if (record.state == AttemptState::Granted && predicate(record))
                found.push_back(attemptId);
        });
        return found;
    }

    // Marks the attempt as not run and releases its slot if the permit is unused.
    bool revokeIfUnused(PermitTable& table, const std::string& attemptId, const Base::Clock& clock)
    {
        uint64_t bytes = 0;
        bool revoked = table.attempts.withShard(attemptId, [&](auto& records) {
            auto entry = records.find(attemptId);
            if (entry == records.end() || entry->second.state != AttemptState::Granted)
                return false;
            entry->second.state = AttemptState::NotRun;
            entry->second.changedAt = clock.now();
            bytes = entry->second.permit.bodyBytes;
            return true;
        });
        if (revoked)
            table.occupancy.release(bytes);
        return revoked;
    }

} // namespace

void revokePermit(PermitTable& table, const std::string& attemptId, const std::string& permitId, const Base::Clock& clock)
{
    if (permitId.empty()) {
        table.attempts.withShard(attemptId, [&](auto& records) {
            records.try_emplace(attemptId, AttemptRecord { AttemptState::NotRun, {}, clock.now() });
        });
    }
    revokeIfUnused(table, attemptId, clock);
}

void revokeAllPermits(PermitTable& table, const Base::Clock& clock)
{
    ++table.epoch;
    for (auto& attemptId : findUnused(table, [](const AttemptRecord&) { return true; }))
        revokeIfUnused(table, attemptId, clock);
}

std::vector<std::string> expirePermits(PermitTable& table, const Base::Clock& clock)
{
    auto now = clock.now();
    auto expired = findUnused(table, [&](const AttemptRecord& record) { return record.permit.expiresAt <= now; });
    std::erase_if(expired, [&](const std::string& attemptId) { return !revokeIfUnused(table, attemptId, clock); });
    bool isTableFull = table.attempts.size() > maximumAttemptRecords;
    // An attempt revoked before its request arrived must be kept for as long as the request may be in flight.
    auto retention = isTableFull ? Base::Duration(2 * permitLifetime) : Base::Duration(outcomeRetention);
    table.attempts.eraseIf([&](const std::string&, const AttemptRecord& record) {
        return isEnded(record) && now - record.changedAt > retention;
    });
    return expired;
}

} // namespace Lavenderloft::Admission::Commands
