#pragma once

#include "Admission/IdempotencyKeyTable.h"
#include "Admission/LimitState.h"
#include "Admission/PermitTable.h"
#include "Admission/WaitingQueue.h"

namespace Lavenderloft::Admission {

// Admission state of the agent's target.
class TargetState {
public:
    TargetState(uint64_t agentIncarnation, const Base::Clock& clock)
        : permits(agentIncarnation)
        , keys(clock)
    {
    }

    PermitTable permits;
    LimitState limit;
    WaitingQueue queue;
    IdempotencyKeyTable keys;
};

} // namespace Lavenderloft::Admission
