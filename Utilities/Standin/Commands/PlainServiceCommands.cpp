#include "Standin/Commands/PlainServiceCommands.h"

namespace Lavenderloft::Standin::Commands {

namespace {

    Base::Result<Base::Done, DropError> takeDrop(std::atomic<int>& drops)
    {
        int left = drops;
        while (left > 0) {
            if (drops.compare_exchange_weak(left, left - 1))
                return Base::Done {};
        }
        return DropError { DropErrorKind::NoneLeft, "no connection is to be dropped", {} };
    }

} // namespace

void recordExecution(PlainServiceState& state, const std::string& callId)
{
    state.executions.withShard(callId, [&](auto& entries) { ++entries[callId]; });
}

Base::Result<Base::Done, DropError> takeDropBeforeRun(PlainServiceState& state)
{
    return takeDrop(state.dropsBeforeRun);
}

Base::Result<Base::Done, DropError> takeDropAfterRun(PlainServiceState& state)
{
    return takeDrop(state.dropsAfterRun);
}

} // namespace Lavenderloft::Standin::Commands
