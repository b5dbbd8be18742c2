#pragma once

#include <chrono>
#include <cstdint>

// Compares permits granted by the target's agent with concurrency limits enforced by each router.
namespace Lavenderloft::Bench {

struct PermitScenario {
    unsigned routers = 7;
    // Concurrent requests that the cold target can process.
    unsigned coldLimit = 2;
    // One request arrives at a random router every millisecond and runs for a second.
    unsigned requests = 5000;
    uint64_t seed = 1;
};

// Peak number of concurrent requests at the target if each router enforces an equal part of the target's limit,
// but at least one.
unsigned peakWithRouterLimits(const PermitScenario&);

// Peak number of concurrent requests at the target if its agent grants permits.
unsigned peakWithPermits(const PermitScenario&);

// Mean time to grant, use and finish one permit on the given number of threads.
std::chrono::nanoseconds permitCost(unsigned threads, unsigned permitsPerThread);

} // namespace Lavenderloft::Bench
