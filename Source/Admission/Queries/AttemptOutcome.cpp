#include "Admission/Queries/AttemptOutcome.h"

namespace Lavenderloft::Admission::Queries {

AttemptOutcome attemptOutcome(const PermitTable& table, const std::string& attemptId, uint64_t agentIncarnation)
{
    if (agentIncarnation && agentIncarnation != table.agentIncarnation)
        return AttemptOutcome::Unknown;
    auto record = table.attempts.find(attemptId);
    if (!record)
        return AttemptOutcome::Unknown;
    switch (record->state) {
    case AttemptState::NotRun:
        return AttemptOutcome::NotRun;
    case AttemptState::Complete:
        return AttemptOutcome::Complete;
    case AttemptState::Granted:
    case AttemptState::Running:
        return AttemptOutcome::Running;
    case AttemptState::Broken:
        break;
    }
    return AttemptOutcome::Unknown;
}

std::vector<uint64_t> fingerprintsRunningSince(const PermitTable& table, Base::TimePoint time)
{
    std::vector<uint64_t> fingerprints;
    table.attempts.forEach([&](const std::string&, const AttemptRecord& record) {
        bool brokeOff = record.state == AttemptState::Broken && record.changedAt >= time;
        if (record.state == AttemptState::Running || brokeOff)
            fingerprints.push_back(record.permit.fingerprint);
    });
    return fingerprints;
}

} // namespace Lavenderloft::Admission::Queries
