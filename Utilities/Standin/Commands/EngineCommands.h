#pragma once

#include "Base/Result.h"
#include "Standin/EngineState.h"

namespace Lavenderloft::Standin::Commands {

enum class EngineErrorKind {
    StaleFence,
    OutOfOrder,
    BadWeights,
    NotReady,
    // The engine cannot bear the request and crashes.
    Overloaded,
};

using EngineError = Base::Error<EngineErrorKind>;
using EngineResult = Base::Result<Base::Done, EngineError>;

void setBehaviour(EngineState&, const EngineBehaviour&);

// Takes the manifest of the chunks that follow and starts anew.
EngineResult acceptManifest(EngineState&, const std::string& manifestDigest, uint64_t fence, std::string_view bytes);

// Takes the next chunk of a model; index 0 starts anew.
EngineResult acceptChunk(EngineState&, const std::string& manifestDigest, uint64_t index, uint64_t fence, std::string_view bytes);

// Starts to load the weights received, if their digest is the one expected.
EngineResult startLoading(EngineState&, uint64_t fence, const std::string& digest);

// Loads the adapter received beside the weights, which go on answering.
EngineResult loadAdapter(EngineState&, uint64_t fence, const std::string& digest);

// Drops an adapter; a request that still runs on it goes on from the base model, which its tokens show.
EngineResult unloadAdapter(EngineState&, uint64_t fence, const std::string& digest);

// Follow-ups of a change of mode; without effect if the mode changed again since.
void finishLoading(EngineState&, uint64_t modeChange);
void finishWarmUp(EngineState&, uint64_t modeChange);
void finishRestart(EngineState&, uint64_t modeChange);

// Turns a ready engine cold.
void coolDown(EngineState&);

// Loses the weights, the fencing tokens and all requests held, and takes a new incarnation.
void crashEngine(EngineState&, std::string incarnation);

// Takes on a request. When it is more than the engine can bear, the error is Overloaded.
EngineResult admitGeneration(EngineState&, const std::shared_ptr<Generation>&);

void removeGeneration(EngineState&, uint64_t number);
void countCompletion(EngineState&);

} // namespace Lavenderloft::Standin::Commands
