#include "Standin/Commands/EngineCommands.h"

#include "Standin/Queries/EngineQueries.h"

#include <algorithm>

namespace Lavenderloft::Standin::Commands {

namespace {

    void changeMode(EngineModel& model, EngineMode mode)
    {
        model.mode = mode;
        ++model.modeChange;
    }

    bool hasModel(const EngineModel& model)
    {
        return model.mode == EngineMode::Cold || model.mode == EngineMode::Ready;
    }

    EngineResult checkFence(EngineModel& model, uint64_t fence)
    {
        if (fence < model.highestFence && model.behaviour.checksFence) {
            ++model.counters.staleFences;
            return EngineError { EngineErrorKind::StaleFence, "fencing token " + std::to_string(fence) + " is lower than " + std::to_string(model.highestFence) + ", the highest seen", "send an order with a newer token" };
        }
        model.highestFence = std::max(model.highestFence, fence);
        return Base::Done {};
    }

    EngineError badWeightsError(const ModelError& error)
    {
        return { EngineErrorKind::BadWeights, error.message, error.remedy };
    }

    // Clears the staged chunks if they have this digest.
    EngineResult consumeStaged(EngineModel& model, const std::string& digest)
    {
        auto staged = model.staged.digest();
        if (!Base::succeeded(staged))
            return badWeightsError(Base::errorOf(staged));
        if (Base::valueOf(staged) != digest)
            return EngineError { EngineErrorKind::BadWeights, "received weights have the digest " + Base::valueOf(staged) + ", expected " + digest, "send the chunks of the expected manifest" };
        model.staged = ModelVerifier();
        model.stagedManifest.clear();
        return Base::Done {};
    }

    // Index 0 discards the staged chunks; any other chunk must be the next one of the staged manifest.
    EngineResult prepareStaging(EngineModel& model, const std::string& manifestDigest, uint64_t index)
    {
        if (index == 0) {
            if (manifestDigest == model.stagedManifest)
                model.staged.discardChunks();
            else
                model.staged = ModelVerifier();
            model.stagedManifest = manifestDigest;
            return Base::Done {};
        }
        if (manifestDigest == model.stagedManifest && index == model.staged.chunksReceived())
            return Base::Done {};
        return EngineError { EngineErrorKind::OutOfOrder, "chunk " + std::to_string(index) + " is out of order", "send the chunks of one manifest in order, from 0" };
    }

} // namespace

void setBehaviour(EngineState& state, const EngineBehaviour& behaviour)
{
    std::lock_guard guard(state.model.lock);
    state.model.behaviour = behaviour;
}

EngineResult acceptManifest(EngineState& state, const std::string& manifestDigest, uint64_t fence, std::string_view bytes)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    auto fenceChecked = checkFence(model, fence);
    if (!Base::succeeded(fenceChecked))
        return fenceChecked;
    auto accepted = model.staged.setManifest(bytes, manifestDigest);
    if (!Base::succeeded(accepted))
        return badWeightsError(Base::errorOf(accepted));
    model.stagedManifest = manifestDigest;
    return Base::Done {};
}

EngineResult acceptChunk(EngineState& state, const std::string& manifestDigest, uint64_t index, uint64_t fence, std::string_view bytes)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    auto fenceChecked = checkFence(model, fence);
    if (!Base::succeeded(fenceChecked))
        return fenceChecked;
    auto prepared = prepareStaging(model, manifestDigest, index);
    if (!Base::succeeded(prepared))
        return prepared;
    auto added = model.staged.add(bytes);
    if (!Base::succeeded(added))
        return badWeightsError(Base::errorOf(added));
    return Base::Done {};
}

EngineResult startLoading(EngineState& state, uint64_t fence, const std::string& digest)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    auto fenceChecked = checkFence(model, fence);
    if (!Base::succeeded(fenceChecked))
        return fenceChecked;
    if (digest == model.digest && model.mode != EngineMode::Empty)
        return Base::Done {};
    auto consumed = consumeStaged(model, digest);
    if (!Base::succeeded(consumed))
        return consumed;
    model.digest = digest;
    model.adapters.clear();
    ++model.counters.loads;
    changeMode(model, EngineMode::Loading);
    return Base::Done {};
}

EngineResult loadAdapter(EngineState& state, uint64_t fence, const std::string& digest)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    auto fenceChecked = checkFence(model, fence);
    if (!Base::succeeded(fenceChecked))
        return fenceChecked;
    if (!hasModel(model))
        return EngineError { EngineErrorKind::NotReady, "no weights are loaded", "load a base model first" };
    if (model.adapters.contains(digest))
        return Base::Done {};
    auto consumed = consumeStaged(model, digest);
    if (!Base::succeeded(consumed))
        return consumed;
    model.adapters.insert(digest);
    ++model.counters.adapterLoads;
    return Base::Done {};
}

EngineResult unloadAdapter(EngineState& state, uint64_t fence, const std::string& digest)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    auto fenceChecked = checkFence(model, fence);
    if (!Base::succeeded(fenceChecked))
        return fenceChecked;
    model.counters.adapterUnloads += model.adapters.erase(digest);
    return Base::Done {};
}

void finishLoading(EngineState& state, uint64_t modeChange)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    if (model.modeChange != modeChange || model.mode != EngineMode::Loading)
        return;
    changeMode(model, model.behaviour.coldTime.count() > 0 ? EngineMode::Cold : EngineMode::Ready);
}

void finishWarmUp(EngineState& state, uint64_t modeChange)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    if (model.modeChange == modeChange && model.mode == EngineMode::Cold)
        changeMode(model, EngineMode::Ready);
}

void finishRestart(EngineState& state, uint64_t modeChange)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    if (model.modeChange == modeChange && model.mode == EngineMode::Restarting)
        changeMode(model, EngineMode::Empty);
}

void coolDown(EngineState& state)
{
    auto& model = state.model;
    std::lock_guard guard(model.lock);
    if (model.mode == EngineMode::Ready)
        changeMode(model, EngineMode::Cold);
}

void crashEngine(EngineState& state, std::string incarnation)
{
    {
        auto& model = state.model;
        std::lock_guard guard(model.lock);
        model.incarnation = std::move(incarnation);
        model.digest.clear();
        model.adapters.clear();
        model.staged = ModelVerifier();
        model.stagedManifest.clear();
        model.highestFence = 0;
        ++model.counters.crashes;
        changeMode(model, model.behaviour.restartTime.count() > 0 ? EngineMode::Restarting : EngineMode::Empty);
    }
    state.generations.eraseIf([](auto&, auto&) { return true; });
}

EngineResult admitGeneration(EngineState& state, const std::shared_ptr<Generation>& generation)
{
    {
        std::lock_guard guard(state.model.lock);
        if (!hasModel(state.model))
            return EngineError { EngineErrorKind::NotReady, "no weights are loaded", "send the request to a ready engine" };
        auto& adapter = generation->request.adapter;
        if (!adapter.empty() && !state.model.adapters.contains(adapter))
            return EngineError { EngineErrorKind::NotReady, "adapter " + adapter + " is not loaded", "send the request to an engine that lists the adapter" };
    }
    generation->number = state.nextNumber++;
    generation->nextToken = generation->request.firstToken;
    state.generations.set(generation->number, generation);
    auto held = state.generations.size();
    auto memory = Queries::requestMemory(state);
    std::lock_guard guard(state.model.lock);
    auto& model = state.model;
    ++model.counters.started;
    model.counters.peakHeld = std::max(model.counters.peakHeld, held);
    bool isCold = model.mode == EngineMode::Cold;
    if (isCold)
        model.counters.peakHeldCold = std::max(model.counters.peakHeldCold, held);
    if ((isCold && held > model.behaviour.coldLimit) || memory > model.behaviour.memoryLimitBytes)
        return EngineError { EngineErrorKind::Overloaded, std::to_string(held) + " requests exceed the cold limit or the memory limit", "send fewer requests" };
    return Base::Done {};
}

void removeGeneration(EngineState& state, uint64_t number)
{
    state.generations.erase(number);
}

void countCompletion(EngineState& state)
{
    std::lock_guard guard(state.model.lock);
    ++state.model.counters.completed;
}

} // namespace Lavenderloft::Standin::Commands
