#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <set>
#include <string>

namespace Lavenderloft::Placement {

enum class EngineMode {
    Empty,
    Loading,
    // Weights are loaded, but the engine is warming up and can serve only a small load.
    Cold,
    Ready,
};

// The status that a model engine reports.
struct EngineStatus {
    // Differs after each start of the engine; never zero.
    uint64_t incarnation = 0;
    EngineMode mode = EngineMode::Empty;
    // Digest of the weights that are loaded or being loaded.
    std::string digest;
    // Digests of the loaded adapters.
    std::set<std::string> adapters;
    unsigned running = 0;
    unsigned queued = 0;
    uint64_t memoryBytes = 0;
    uint64_t memoryLimitBytes = 0;
    uint64_t highestFence = 0;
    bool checksFence = false;

    // Whether the engine can serve requests.
    bool isServing() const { return (mode == EngineMode::Cold || mode == EngineMode::Ready) && !digest.empty(); }
    bool serves(const std::string& manifest) const { return isServing() && digest == manifest; }
};

enum class EngineErrorKind {
    Unreachable,
    // The fencing token is older than one that the engine has seen.
    StaleFence,
    Refused,
    Malformed,
};

using EngineError = Base::Error<EngineErrorKind>;

// Client for status queries and orders to a model engine. Calls block until the engine responds.
class EngineClient {
public:
    virtual ~EngineClient() = default;

    virtual Base::Result<EngineStatus, EngineError> status() = 0;
    virtual Base::Result<Base::Done, EngineError> sendManifest(const std::string& digest, const std::string& bytes, uint64_t fence) = 0;
    virtual Base::Result<Base::Done, EngineError> sendChunk(const std::string& digest, unsigned index, const std::string& bytes, uint64_t fence) = 0;
    virtual Base::Result<Base::Done, EngineError> load(const std::string& digest, uint64_t fence) = 0;
    virtual Base::Result<Base::Done, EngineError> loadAdapter(const std::string& digest, uint64_t fence) = 0;
    virtual Base::Result<Base::Done, EngineError> unloadAdapter(const std::string& digest, uint64_t fence) = 0;
};

} // namespace Lavenderloft::Placement
