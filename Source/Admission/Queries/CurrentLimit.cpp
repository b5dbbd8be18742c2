#include "Admission/Queries/CurrentLimit.h"

namespace Lavenderloft::Admission::Queries {

namespace {

    // Used for targets that do not report a memory limit.
    constexpr uint64_t defaultByteLimit = 64 * 1024 * 1024;
    // 1/reserveDivisor of the engine's memory is not available for requests.
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
