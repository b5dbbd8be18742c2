#pragma once

#include <chrono>
#include <cstdint>

// Compares permits granted beside the target with limits kept by routers.
namespace Lavenderloft::Bench {

struct PermitScenario {
    unsigned routers = 7;
    // Requests that the cold target bears at a time.
    unsigned coldLimit = 2;
    // Requests that arrive, one each millisecond, at random routers; each runs for a second.
    unsigned requests = 5000;
    uint64_t seed = 1;
};

// The most requests that the target holds at once when each router has a limit of its own: its part of the
// target's limit, but at least one.
unsigned peakWithRouterLimits(const PermitScenario&);

// The same when the agent grants permits.
unsigned peakWithPermits(const PermitScenario&);

// Mean time to grant, use and end one permit, on the given number of threads.
std::chrono::nanoseconds permitCost(unsigned threads, unsigned permitsPerThread);

} // namespace Lavenderloft::Bench
