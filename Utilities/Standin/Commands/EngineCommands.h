#pragma once

#include "Base/Result.h"
#include "Standin/EngineState.h"

namespace Lavenderloft::Standin::Commands {

enum class EngineErrorKind {
    StaleFence,
    OutOfOrder,
    BadWeights,
    NotReady,
    // The request exceeds a limit of the engine, which crashes.
    Overloaded,
};

using EngineError = Base::Error<EngineErrorKind>;
using EngineResult = Base::Result<Base::Done, EngineError>;

void setBehaviour(EngineState&, const EngineBehaviour&);

// Sets the manifest of the chunks that follow and discards the staged chunks.
EngineResult acceptManifest(EngineState&, const std::string& manifestDigest, uint64_t fence, std::string_view bytes);

// Stages the next chunk of a model; index 0 discards the staged chunks first.
EngineResult acceptChunk(EngineState&, const std::string& manifestDigest, uint64_t index, uint64_t fence, std::string_view bytes);

// Starts to load the staged weights if they have this digest.
EngineResult startLoading(EngineState&, uint64_t fence, const std::string& digest);

// Loads the staged adapter if it has this digest; the engine continues to serve requests.
EngineResult loadAdapter(EngineState&, uint64_t fence, const std::string& digest);

// Unloads an adapter. A request that uses it continues with the base model, which the prefix of its tokens shows.
EngineResult unloadAdapter(EngineState&, uint64_t fence, const std::string& digest);

// Complete the mode change with this number; without effect if the mode has changed since.
void finishLoading(EngineState&, uint64_t modeChange);
void finishWarmUp(EngineState&, uint64_t modeChange);
void finishRestart(EngineState&, uint64_t modeChange);

// Makes a ready engine cold.
void coolDown(EngineState&);

// Drops the weights, the highest fencing token and all requests, and sets a new incarnation.
void crashEngine(EngineState&, std::string incarnation);

// Adds a request. The error is Overloaded if the request exceeds a limit of the engine.
EngineResult admitGeneration(EngineState&, const std::shared_ptr<Generation>&);

void removeGeneration(EngineState&, uint64_t number);
void countCompletion(EngineState&);

} // namespace Lavenderloft::Standin::Commands
