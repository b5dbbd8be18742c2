#pragma once

#include "Base/Clock.h"
#include "Weights/WeightError.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Lavenderloft::Weights {

// A chunk that another agent asked for.
struct Upload {
    std::string vm;
    std::string region;
    // Whether the receiver is in another region, whose agents all wait for this one copy.
    bool isRemote = false;
    unsigned priority = 0;
    uint64_t bytes = 0;
    Base::TimePoint askedAt;
    // Whether it has a slot; otherwise it waits for one.
    bool started = false;
    Base::TimePoint startedAt {};
};

// Uploads by a number that grows. The table is small and needs one lock only.
// Commands/UploadCommands.h changes it, Queries/UploadQueries.h reads it.
struct UploadTable {
    mutable std::mutex lock;
    std::map<uint64_t, Upload> uploads;
    // Moving average of the time from the start to the end of an upload; zero before the first has ended.
    Base::Duration meanDuration { 0 };
};

} // namespace Lavenderloft::Weights
