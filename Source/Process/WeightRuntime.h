#pragma once

#include "Base/Clock.h"
#include "Observability/Metrics.h"
#include "Weights/WeightState.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace Lavenderloft::Process {

// State shared by a WeightNode and its callbacks; outlives the node while calls are pending.
struct WeightRuntime {
    WeightRuntime(uint64_t memoryBudgetBytes, const Base::Clock& nodeClock, std::shared_ptr<Observability::Metrics> nodeMetrics)
        : state(std::make_shared<Weights::WeightState>(memoryBudgetBytes))
        , clock(nodeClock)
        , metrics(std::move(nodeMetrics))
    {
    }

    std::shared_ptr<Weights::WeightState> state;
    const Base::Clock& clock;
    std::shared_ptr<Observability::Metrics> metrics;

    // Wakes the transfer thread.
    void wake()
    {
        {
            std::lock_guard guard(lock);
            awake = true;
        }
        condition.notify_one();
    }

    std::mutex lock;
    std::condition_variable condition;
    bool awake = false;
    bool stopping = false;
};

} // namespace Lavenderloft::Process
