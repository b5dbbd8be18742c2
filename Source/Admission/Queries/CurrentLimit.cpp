#include "Admission/Queries/CurrentLimit.h"

namespace Lavenderloft::Admission::Queries {

namespace {

    // For targets that do not tell their memory limit.
    constexpr uint64_t defaultByteLimit = 64 * 1024 * 1024;
    // One part in this many of the engine's memory is never given to requests.
    constexpr uint64_t reserveDivisor = 10;

} // namespace

unsigned currentLimit(const LimitState& state)
{
    auto data = state.data();
    return data.isSuspect ? 0 : data.limit;
}

uint64_t requestByteLimit(uint64_t memoryLimitBytes, uint64_t idleMemoryBytes)
{
    if (!memoryLimitBytes)
        return defaultByteLimit;
    auto usable = memoryLimitBytes - memoryLimitBytes / reserveDivisor;
    return usable > idleMemoryBytes ? usable - idleMemoryBytes : 0;
}

} // namespace Lavenderloft::Admission::Queries
