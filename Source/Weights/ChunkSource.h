#pragma once

#include "Weights/WeightError.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Lavenderloft::Weights {

// Receives one chunk. Calls are serialised but may be made on any thread.
class ChunkSink {
public:
    virtual ~ChunkSink() = default;

    virtual void part(std::string_view bytes) = 0;

    // Called last. Success means that the source has sent all bytes; they are not verified yet.
    virtual void end(const Base::Result<Base::Done, WeightError>&) = 0;
};

// Handle of a fetch in progress. A cancelled fetch still calls the sink's end().
class ChunkFetch {
public:
    virtual ~ChunkFetch() = default;
    virtual void cancel() = 0;
};

using ManifestCallback = std::function<void(const Base::Result<std::string, WeightError>&)>;

// The origin of all weights, that is, the weight store.
class ChunkSource {
public:
    virtual ~ChunkSource() = default;

    virtual void fetchManifest(const std::string& digest, ManifestCallback) = 0;
    virtual std::shared_ptr<ChunkFetch> fetchChunk(const std::string& digest, std::shared_ptr<ChunkSink>) = 0;
};

} // namespace Lavenderloft::Weights
