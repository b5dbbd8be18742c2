#pragma once

#include "Base/ShardedMap.h"
#include "Standin/SyntheticModel.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Lavenderloft::Standin {

// What a model engine does; may be changed while it runs.
struct EngineBehaviour {
    // Tokens of all running requests together.
    double tokensPerSecond = 2000;
    // The shortest time between two tokens of one request.
    std::chrono::milliseconds stepTime { 5 };
    // Requests that run at once; others are queued.
    unsigned maximumBatch = 16;
    // Time from the order to load until the engine answers.
    std::chrono::milliseconds loadTime { 0 };
    // Time after a load, or after coolDown, for which the engine is cold.
    std::chrono::milliseconds coldTime { 0 };
    // A cold engine that holds more requests than this crashes.
    unsigned coldLimit = 2;
    // Time after a crash for which every connection is cut off.
    std::chrono::milliseconds restartTime { 0 };
    // An engine whose requests need more memory than this crashes.
    uint64_t memoryLimitBytes = 1024ULL * 1024 * 1024;
    // Memory of one generated token; a prompt needs its size.
    uint64_t bytesPerToken = 1024;
    // Whether a fencing token below the highest seen is refused.
    bool checksFence = true;
    // A prompt that contains this text crashes the engine when it is run; no prompt does if it is empty.
    std::string crashMarker;
    // How old a status may be.
    std::chrono::milliseconds statusLag { 0 };
};

enum class EngineMode {
    Empty,
    Loading,
    Cold,
    Ready,
    Restarting,
};

// Where the tokens of one request go.
class TokenSink {
public:
    virtual ~TokenSink() = default;

    // False if the reader is so far behind that the request has to wait.
    virtual bool write(std::string text) = 0;

    // Writes the last text, whatever the reader has taken so far, and ends the answer.
    virtual void finish(std::string lastText) = 0;

    // Ends the answer so that it cannot be taken for whole.
    virtual void abort() = 0;
};

struct GenerationRequest {
    // First word of the prompt, repeated in each token.
    std::string identifier;
    uint64_t promptBytes = 0;
    unsigned maxTokens = 0;
    // Number of the first token to generate.
    unsigned firstToken = 0;
    // Higher numbers run first.
    int priority = 0;
    // Digest of the adapter that is to answer; empty for the base model.
    std::string adapter;
    bool crashesEngine = false;
};

// A request that the engine holds.
struct Generation {
    uint64_t number = 0;
    GenerationRequest request;
    std::shared_ptr<TokenSink> sink;
    std::atomic<unsigned> nextToken { 0 };
};

struct EngineCounters {
    uint64_t started = 0;
    uint64_t completed = 0;
    uint64_t crashes = 0;
    uint64_t loads = 0;
    uint64_t adapterLoads = 0;
    uint64_t adapterUnloads = 0;
    uint64_t staleFences = 0;
    // The most requests held at once, and the most while cold.
    uint64_t peakHeld = 0;
    uint64_t peakHeldCold = 0;
};

// The engine's model and mode; the lock guards all other members.
struct EngineModel {
    mutable std::mutex lock;
    EngineBehaviour behaviour;
    std::string incarnation;
    EngineMode mode = EngineMode::Empty;
    // Digest of the weights loaded or being loaded.
    std::string digest;
    // Digests of the adapters loaded beside the weights.
    std::set<std::string> adapters;
    ModelVerifier staged;
    std::string stagedManifest;
    uint64_t highestFence = 0;
    // Number of the last change of mode, so that a timer that is out of date has no effect.
    uint64_t modeChange = 0;
    EngineCounters counters;
};

struct EngineState {
    EngineModel model;
    Base::ShardedMap<uint64_t, std::shared_ptr<Generation>> generations;
    std::atomic<uint64_t> nextNumber { 1 };
};

// What GET /engine/status tells.
struct EngineStatus {
    std::string incarnation;
    EngineMode mode = EngineMode::Empty;
    std::string digest;
    std::set<std::string> adapters;
    uint64_t running = 0;
    uint64_t queued = 0;
    uint64_t memoryBytes = 0;
    uint64_t memoryLimitBytes = 0;
    uint64_t highestFence = 0;
    bool checksFence = false;
    uint64_t modeChange = 0;
};

} // namespace Lavenderloft::Standin
