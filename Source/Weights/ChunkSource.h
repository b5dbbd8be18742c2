#pragma once

#include "Weights/WeightError.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Lavenderloft::Weights {

// Receives one chunk. Calls come one at a time, from any thread.
class ChunkSink {
public:
    virtual ~ChunkSink() = default;

    virtual void part(std::string_view bytes) = 0;

    // The last call. Success means that the source sent all it has; the bytes are not verified yet.
    virtual void end(const Base::Result<Base::Done, WeightError>&) = 0;
};

// Handle of a fetch under way. After cancel() the sink still gets its end().
class ChunkFetch {
public:
    virtual ~ChunkFetch() = default;
    virtual void cancel() = 0;
};

using ManifestCallback = std::function<void(const Base::Result<std::string, WeightError>&)>;

// The weight store or origin of weights.
class ChunkSource {
public:
    virtual ~ChunkSource() = default;

    virtual void fetchManifest(const std::string& digest, ManifestCallback) = 0;
    virtual std::shared_ptr<ChunkFetch> fetchChunk(const std::string& digest, std::shared_ptr<ChunkSink>) = 0;
};

} // namespace Lavenderloft::Weights
