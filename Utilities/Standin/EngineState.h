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

// Simulated performance and faults of a model engine; can be changed at run time.
struct EngineBehaviour {
    // Total token rate of all running requests.
    double tokensPerSecond = 2000;
    // Minimum time between two tokens of one request.
    std::chrono::milliseconds stepTime { 5 };
    // Requests that run concurrently; others are queued.
    unsigned maximumBatch = 16;
    // Time from a load order until the engine serves requests.
    std::chrono::milliseconds loadTime { 0 };
    // Time for which the engine is cold after a load or after coolDown.
    std::chrono::milliseconds coldTime { 0 };
    // A cold engine crashes when it holds more requests than this.
    unsigned coldLimit = 2;
    // Time after a crash during which every connection is aborted.
    std::chrono::milliseconds restartTime { 0 };
    // The engine crashes when its requests need more memory than this.
    uint64_t memoryLimitBytes = 1024ULL * 1024 * 1024;
    // Memory per generated token; a prompt needs its own size.
    uint64_t bytesPerToken = 1024;
    // Whether a fencing token below the highest seen is rejected.
    bool checksFence = true;
    // A prompt that contains this text crashes the engine when it runs; disabled if empty.
    std::string crashMarker;
    // Maximum age of the status that GET /engine/status returns.
    std::chrono::milliseconds statusLag { 0 };
};

enum class EngineMode {
    Empty,
    Loading,
    Cold,
    Ready,
    Restarting,
};

// Receives the generated tokens of one request.
class TokenSink {
public:
    virtual ~TokenSink() = default;

    // Returns false if the reader is too slow and the buffer is full; the request waits for a later step.
    virtual bool write(std::string text) = 0;

    // Writes the last text, even if the buffer is full, and completes the response.
    virtual void finish(std::string lastText) = 0;

    // Ends the response so that it cannot be mistaken for a complete one.
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
    // Digest of the requested adapter; empty for the base model.
    std::string adapter;
    bool crashesEngine = false;
};

// A request that is running or queued in the engine.
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
    // Maximum number of requests held at the same time, overall and while cold.
    uint64_t peakHeld = 0;
    uint64_t peakHeldCold = 0;
};

// Loaded model and mode of the engine; the lock guards all other members.
struct EngineModel {
    mutable std::mutex lock;
    EngineBehaviour behaviour;
    std::string incarnation;
    EngineMode mode = EngineMode::Empty;
    // Digest of the weights loaded or being loaded.
    std::string digest;
    // Digests of the loaded adapters.
    std::set<std::string> adapters;
    ModelVerifier staged;
    std::string stagedManifest;
    uint64_t highestFence = 0;
    // Incremented at each mode change, so that a timer that was started before has no effect.
    uint64_t modeChange = 0;
    EngineCounters counters;
};

struct EngineState {
    EngineModel model;
    Base::ShardedMap<uint64_t, std::shared_ptr<Generation>> generations;
    std::atomic<uint64_t> nextNumber { 1 };
};

// Status of the engine; GET /engine/status reports all but `modeChange`.
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
