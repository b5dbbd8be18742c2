#include "Standin/Queries/EngineQueries.h"

#include "Standin/TokenText.h"

#include <algorithm>

namespace Lavenderloft::Standin::Queries {

EngineBehaviour engineBehaviour(const EngineState& state)
{
    std::lock_guard guard(state.model.lock);
    return state.model.behaviour;
}

EngineCounters engineCounters(const EngineState& state)
{
    std::lock_guard guard(state.model.lock);
    return state.model.counters;
}

EngineStatus engineStatus(const EngineState& state)
{
    auto held = state.generations.size();
    EngineStatus status;
    status.memoryBytes = requestMemory(state);
    std::lock_guard guard(state.model.lock);
    auto& model = state.model;
    status.incarnation = model.incarnation;
    status.mode = model.mode;
    status.digest = model.digest;
    status.adapters = model.adapters;
    status.running = std::min<uint64_t>(held, model.behaviour.maximumBatch);
    status.queued = held - status.running;
    status.memoryLimitBytes = model.behaviour.memoryLimitBytes;
    status.highestFence = model.highestFence;
    status.checksFence = model.behaviour.checksFence;
    status.modeChange = model.modeChange;
    return status;
}

uint64_t requestMemory(const EngineState& state)
{
    auto bytesPerToken = engineBehaviour(state).bytesPerToken;
    uint64_t total = 0;
    state.generations.forEach([&](auto, auto& generation) { total += generation->request.promptBytes + generation->nextToken * bytesPerToken; });
    return total;
}

std::vector<std::shared_ptr<Generation>> nextBatch(const EngineState& state)
{
    std::vector<std::shared_ptr<Generation>> batch;
    state.generations.forEach([&](auto, auto& generation) { batch.push_back(generation); });
    std::sort(batch.begin(), batch.end(), [](auto& a, auto& b) {
        return std::pair(-a->request.priority, a->number) < std::pair(-b->request.priority, b->number);
    });
    batch.resize(std::min<size_t>(batch.size(), engineBehaviour(state).maximumBatch));
    return batch;
}

std::chrono::nanoseconds stepDuration(const EngineState& state, size_t batch)
{
    auto behaviour = engineBehaviour(state);
    auto shared = std::chrono::duration<double>(static_cast<double>(batch) / behaviour.tokensPerSecond);
    return std::max<std::chrono::nanoseconds>(behaviour.stepTime, std::chrono::duration_cast<std::chrono::nanoseconds>(shared));
}

std::optional<std::string> nextTokenText(const EngineState& state, const Generation& generation)
{
    std::lock_guard guard(state.model.lock);
    if (state.model.mode != EngineMode::Cold && state.model.mode != EngineMode::Ready)
        return std::nullopt;
    auto& adapter = generation.request.adapter;
    auto prefix = tokenPrefix(state.model.digest, state.model.adapters.contains(adapter) ? adapter : std::string());
    return formatToken({ prefix, generation.request.identifier, generation.nextToken });
}

} // namespace Lavenderloft::Standin::Queries
