#include "Admission/Commands/CompleteRequest.h"

namespace Lavenderloft::Admission::Commands {

void completeRequest(PermitTable& table, const std::string& attemptId, AttemptState state, const Base::Clock& clock)
{
    uint64_t bytes = 0;
    bool ended = table.attempts.withShard(attemptId, [&](auto& records) {
        auto entry = records.find(attemptId);
        if (entry == records.end() || entry->second.state != AttemptState::Running)
            return false;
        entry->second.state = state;
        entry->second.changedAt = clock.now();
        bytes = entry->second.permit.bodyBytes;
        return true;
    });
    if (ended)
        table.occupancy.release(bytes);
}

} // namespace Lavenderloft::Admission::Commands
