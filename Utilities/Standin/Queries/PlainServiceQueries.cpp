#include "Standin/Queries/PlainServiceQueries.h"

#include <algorithm>

namespace Lavenderloft::Standin::Queries {

uint64_t executionsOf(const PlainServiceState& state, const std::string& callId)
{
    return state.executions.find(callId).value_or(0);
}

ExecutionSummary executionSummary(const PlainServiceState& state)
{
    ExecutionSummary summary;
    state.executions.forEach([&](auto& callId, uint64_t count) {
        summary.total += count;
        summary.maximum = std::max(summary.maximum, count);
        summary.calls[callId] = count;
    });
    return summary;
}

} // namespace Lavenderloft::Standin::Queries
