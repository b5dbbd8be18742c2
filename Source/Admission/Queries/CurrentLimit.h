#pragma once

#include "Admission/LimitState.h"

#include <cstdint>

namespace Lavenderloft::Admission::Queries {

// Maximum number of concurrent requests.
unsigned currentLimit(const LimitState&);

// Maximum total size of request bodies: the engine's memory limit minus a reserve and minus its memory when idle. A
// memory limit of zero means that the engine reports none.
uint64_t requestByteLimit(uint64_t memoryLimitBytes, uint64_t idleMemoryBytes);

} // namespace Lavenderloft::Admission::Queries
