#pragma once

#include "Base/Clock.h"
#include "Weights/WeightError.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Lavenderloft::Weights {

// The upload of one chunk to another agent.
struct Upload {
    std::string vm;
    std::string region;
    // Whether the receiver is in another region, where all agents wait for this copy.
    bool isRemote = false;
    unsigned priority = 0;
    uint64_t bytes = 0;
    Base::TimePoint requestedAt;
    // Whether the upload occupies a slot; otherwise it is queued.
    bool started = false;
    Base::TimePoint startedAt {};
};

// Uploads, keyed by an increasing sequence number. The table is small, so that one lock suffices.
// Modified by Commands/UploadCommands.h, read by Queries/UploadQueries.h.
struct UploadTable {
    mutable std::mutex lock;
    std::map<uint64_t, Upload> uploads;
    // Moving average of the duration of an upload; zero before the first one has ended.
    Base::Duration meanDuration { 0 };
};

} // namespace Lavenderloft::Weights
