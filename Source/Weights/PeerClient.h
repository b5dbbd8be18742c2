#pragma once

#include "Weights/ChunkSource.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace Lavenderloft::Weights {

// Which chunks of a manifest an agent holds, one entry for each chunk.
using ChunkBitmap = std::vector<bool>;

// An agent that wants the same manifest.
struct Participant {
    std::string vm;
    // IP:port of the inner port.
    std::string address;
    std::string dataCentre;
    std::string region;

    bool operator==(const Participant&) const = default;
};

// An agent's response to a holdings request for one manifest.
struct Holdings {
    // False when the agent does not know the manifest yet.
    bool known = false;
    ChunkBitmap held;
    // Chunks that the agent is fetching from the origin or from another region.
    std::vector<unsigned> assigned;
    unsigned freeUploadSlots = 0;
    // Time until the agent can accept a chunk request; zero if it can accept one now.
    std::chrono::milliseconds slotExpectedIn { 0 };
};

using HoldingsCallback = std::function<void(const Base::Result<Holdings, WeightError>&)>;

struct ChunkRequest {
    std::string chunkDigest;
    // Requests with a higher value are served first.
    unsigned priority = 100;
};

// Client for calls to other agents. Callbacks may run on any thread, but never inside the call itself.
class PeerClient {
public:
    virtual ~PeerClient() = default;

    virtual void getHoldings(const Participant&, const std::string& manifestDigest, HoldingsCallback) = 0;
    virtual void getManifest(const Participant&, const std::string& manifestDigest, std::chrono::milliseconds timeout, ManifestCallback) = 0;
    virtual std::shared_ptr<ChunkFetch> fetchChunk(const Participant&, const ChunkRequest&, std::shared_ptr<ChunkSink>) = 0;
};

} // namespace Lavenderloft::Weights
