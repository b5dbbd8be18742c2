#pragma once

// Staging downloads the declared weights for the engine on the agent's VM. Pieces are fetched from the origin
// and from other agents, verified against the manifest, stored at the engine and loaded by a load request.

#include "Base/Result.h"
#include "Fleet/TargetEntry.h"
#include "Http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Lavenderloft::Staging {

// Status that the engine reports.
struct EngineReport {
    unsigned running = 0;
    unsigned queued = 0;
    // Key-value cache occupied by running requests, in tokens.
    uint64_t usedTokens = 0;
    uint64_t totalTokens = 0;
    // The engine is executing a load request.
    bool busy = false;
    // Number of load requests that the engine has accepted since its start; empty if it does not count them.
    std::optional<uint64_t> acceptedLoads;
    // Slowdown relative to the model's nominal speed; above 1 means slower.
    double pace = 1;
    std::optional<Fleet::HeldLayers> layers;
    // Identifies the engine's start; a different value means that the engine restarted.
    uint64_t startedAt = 0;
};

// Digests of the pieces of one model version, in piece order.
struct PieceManifest {
    std::string model;
    uint64_t version = 0;
    // SHA-256 in lower-case hexadecimal.
    std::vector<std::string> digests;
};

enum class EngineErrorKind {
    Refused,
    NotFound,
    Malformed,
};

using EngineError = Base::Error<EngineErrorKind>;

// The engine's response to a load request.
enum class LoadResponse {
    Started,
    AlreadyLoaded,
    // The engine's current state does not allow loading.
    Conflict,
    Refused,
};

// What an engine does with its running requests when it loads weights.
enum class LoadMode {
    // Running requests complete first.
    FinishRunning,
    // Running requests are aborted; routers resume them at other engines.
    AbortRunning,
};

// Asks the engine to load pieces that are stored there.
struct LoadRequest {
    std::string model;
    Fleet::HeldLayers layers;
    // Names all layers of the model.
    bool loadsAllLayers = true;
    LoadMode mode = LoadMode::FinishRunning;
    // The engine rejects the request if it has accepted another number of load requests by then; empty if it does not
    // count them.
    std::optional<uint64_t> acceptedBefore;
};

// Encodes requests to the engine and to the weight origin, and decodes their responses.
class EngineProtocol {
public:
    virtual ~EngineProtocol() = default;

    virtual Http::HttpRequest reportRequest() const = 0;
    virtual Base::Result<EngineReport, EngineError> readReport(const Http::HttpResponse&) const = 0;

    virtual Http::HttpRequest manifestRequest(const std::string& model, uint64_t version) const = 0;
    virtual Base::Result<PieceManifest, EngineError> readManifest(const Http::HttpResponse&) const = 0;

    // Downloads a piece from the origin.
    virtual Http::HttpRequest pieceRequest(const std::string& model, uint64_t version, unsigned piece) const = 0;

    // Stores a piece at the engine.
    virtual Http::HttpRequest storePieceRequest(const std::string& model, unsigned piece, std::string bytes) const = 0;
    // Reads a stored piece back from the engine.
    virtual Http::HttpRequest storedPieceRequest(const std::string& model, unsigned piece) const = 0;

    // Loads the pieces that are stored at the engine when it accepts the request.
    virtual Http::HttpRequest loadRequest(const LoadRequest&) const = 0;
    virtual LoadResponse readLoadResponse(const Http::HttpResponse&) const = 0;
};

} // namespace Lavenderloft::Staging
