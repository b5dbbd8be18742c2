#pragma once

#include "Base/ShardedMap.h"

#include <atomic>
#include <chrono>
#include <map>
#include <string>

namespace Lavenderloft::Standin {

struct ExecutionSummary {
    uint64_t total = 0;
    // Executions of the call that ran most often.
    uint64_t maximum = 0;
    // By identifier of the call.
    std::map<std::string, uint64_t> calls;
};

// What a plain service remembers, sharded by call.
struct PlainServiceState {
    Base::ShardedMap<std::string, uint64_t> executions;
    std::atomic<std::chrono::milliseconds> delay { std::chrono::milliseconds(0) };
    // Number of calls whose connection is still to be dropped before the run, and after it.
    std::atomic<int> dropsBeforeRun { 0 };
    std::atomic<int> dropsAfterRun { 0 };
    std::atomic<bool> silent { false };
};

} // namespace Lavenderloft::Standin
