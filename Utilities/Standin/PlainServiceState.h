#pragma once

#include "Base/ShardedMap.h"

#include <atomic>
#include <chrono>
#include <map>
#include <string>

namespace Lavenderloft::Standin {

struct ExecutionSummary {
    uint64_t total = 0;
    // Highest number of executions of one call.
    uint64_t maximum = 0;
    // Executions by call identifier.
    std::map<std::string, uint64_t> calls;
};

// State of a plain service, sharded by call identifier.
struct PlainServiceState {
    Base::ShardedMap<std::string, uint64_t> executions;
    std::atomic<std::chrono::milliseconds> delay { std::chrono::milliseconds(0) };
    // Remaining number of calls whose connection is aborted before execution, and after it.
    std::atomic<int> dropsBeforeRun { 0 };
    std::atomic<int> dropsAfterRun { 0 };
    std::atomic<bool> silent { false };
};

} // namespace Lavenderloft::Standin
