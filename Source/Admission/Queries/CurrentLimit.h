#pragma once

#include "Admission/LimitState.h"

#include <cstdint>

namespace Lavenderloft::Admission::Queries {

// Requests that the target may run at a time.
unsigned currentLimit(const LimitState&);

// Bytes of request bodies that the target may hold: the engine's memory limit less a reserve and less
// what the engine holds when it is idle. A limit of zero means that the engine tells none.
uint64_t requestByteLimit(uint64_t memoryLimitBytes, uint64_t idleMemoryBytes);

} // namespace Lavenderloft::Admission::Queries
