#pragma once

// Staging: brings declared weights to the engine beside an agent. Pieces come from the origin and from
// other agents, are checked against the manifest, laid at the engine and loaded by an order.

#include "Base/Result.h"
#include "Fleet/TargetEntry.h"
#include "Http/HttpMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Lavenderloft::Staging {

// What the engine says of itself at this moment.
struct EngineReport {
    unsigned running = 0;
    unsigned queued = 0;
    // Tokens of memory that running requests hold.
    uint64_t usedTokens = 0;
    uint64_t totalTokens = 0;
    // An order is under way.
    bool busy = false;
    // Over 1 means that the engine is slower than its model.
    double pace = 1;
    std::optional<Fleet::HeldLayers> layers;
    // Start of the engine, to tell a restart.
    uint64_t startedAt = 0;
};

// The digests of the pieces of one version of a model.
struct PieceManifest {
    std::string model;
    uint64_t version = 0;
    // SHA-256 as lower-case hexadecimal digits.
    std::vector<std::string> digests;
};

enum class EngineErrorKind {
    Refused,
    NotFound,
    Malformed,
};

using EngineError = Base::Error<EngineErrorKind>;

// The answer to an order to load weights.
enum class LoadResponse {
    Started,
    AlreadyLoaded,
    // The engine's state does not allow it now.
    Conflict,
    Refused,
};

// What happens to the requests that run as an engine is told to load weights.
enum class LoadMode {
    FinishRunning,
    // They are cut off, and routers resume them at other engines.
    AbortRunning,
};

// Encodes the calls to the engine and to the origin of weights and decodes their answers.
class EngineProtocol {
public:
    virtual ~EngineProtocol() = default;

    virtual Http::HttpRequest reportRequest() const = 0;
    virtual Base::Result<EngineReport, EngineError> readReport(const Http::HttpResponse&) const = 0;

    virtual Http::HttpRequest manifestRequest(const std::string& model, uint64_t version) const = 0;
    virtual Base::Result<PieceManifest, EngineError> readManifest(const Http::HttpResponse&) const = 0;

    // A piece at the origin.
    virtual Http::HttpRequest pieceRequest(const std::string& model, uint64_t version, unsigned piece) const = 0;

    // Lays a piece at the engine; reads it back.
    virtual Http::HttpRequest storePieceRequest(const std::string& model, unsigned piece, std::string bytes) const = 0;
    virtual Http::HttpRequest storedPieceRequest(const std::string& model, unsigned piece) const = 0;

    // Loads the pieces that lie at the engine.
    virtual Http::HttpRequest loadRequest(const std::string& model, uint64_t version, LoadMode) const = 0;
    virtual LoadResponse readLoadResponse(const Http::HttpResponse&) const = 0;
};

} // namespace Lavenderloft::Staging
