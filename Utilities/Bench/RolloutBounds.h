#pragma once

#include "Bench/RolloutBenchmark.h"

#include <string>
#include <vector>

namespace Lavenderloft::Bench {

enum class BoundsErrorKind {
    Unreadable,
};

using BoundsError = Base::Error<BoundsErrorKind>;

// Upper bounds of a rollout. They are the performance targets, not earlier results.
struct RolloutBounds {
    struct TimeBound {
        unsigned maximumReplicas = 0;
        double maximum = 0;
    };

    std::vector<TimeBound> timeInFloors;
    double originCopies = 0;
    double interRegionCopies = 0;
    double originCopiesWithFault = 0;
    double interRegionCopiesWithFault = 0;
    unsigned wrongReplicas = 0;
};

// Reads a file in the format of Utilities/Bench/bounds.json.
Base::Result<RolloutBounds, BoundsError> readRolloutBounds(const std::string& path);

// Which bounds to check. Times depend on the load of the machine, counts do not.
enum class BoundsScope {
    Counts,
    CountsAndTime,
};

// One message for each exceeded bound, and one if the rollout is incomplete.
std::vector<std::string> findExceededBounds(const RolloutBounds&, const RolloutOptions&, const RolloutMeasurement&, BoundsScope);

} // namespace Lavenderloft::Bench
