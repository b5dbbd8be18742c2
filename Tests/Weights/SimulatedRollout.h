#pragma once

#include "Bench/RolloutBenchmark.h"

namespace Lavenderloft::Bench {

// How late the simulated machines are.
struct SimulatedLateness {
    // One-way delay of each message.
    std::chrono::milliseconds messageDelay { 1 };
    // Time between two rounds of a replica's decisions, as when the machine is loaded.
    std::chrono::milliseconds roundDelay { 0 };
};

// Rolls a model out as measureRollout() does, on a manual clock: the replicas make the decisions of the product, and
// messages and links are simulated, so that the result does not depend on the load of the machine. Equal options give
// equal results. Of the faults, only Partition is simulated.
RolloutMeasurement simulateRollout(const RolloutOptions&, const SimulatedLateness& = {});

} // namespace Lavenderloft::Bench
