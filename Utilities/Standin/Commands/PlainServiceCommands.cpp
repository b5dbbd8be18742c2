#include "Standin/Commands/PlainServiceCommands.h"

namespace Lavenderloft::Standin::Commands {

namespace {

    Base::Result<Base::Done, DropError> consumeDrop(std::atomic<int>& drops)
    {
        int remaining = drops;
        while (remaining > 0) {
            if (drops.compare_exchange_weak(remaining, remaining - 1))
                return Base::Done {};
        }
        return DropError { DropErrorKind::NoneLeft, "no drops remain", {} };
    }

} // namespace

void recordExecution(PlainServiceState& state, const std::string& callId)
{
    state.executions.withShard(callId, [&](auto& entries) { ++entries[callId]; });
}

Base::Result<Base::Done, DropError> consumeDropBeforeRun(PlainServiceState& state)
{
    return consumeDrop(state.dropsBeforeRun);
}

Base::Result<Base::Done, DropError> consumeDropAfterRun(PlainServiceState& state)
{
    return consumeDrop(state.dropsAfterRun);
}

} // namespace Lavenderloft::Standin::Commands
