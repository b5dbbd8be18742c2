#pragma once

#include "Http/HttpMessage.h"
#include "Standin/EngineState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct EngineOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    EngineBehaviour behaviour;
};

// Stand-in for a model engine: weights, orders to load models and adapters, continuous batching, cold starts and crashes.
//
// How it knows the digest of its weights: it hashes each chunk as it arrives and keeps no bytes. A
// manifest may come first, as PUT /engine/weights/{digest}/manifest; its SHA-256 must be the digest, and
// each chunk must be the one that it names. Without a manifest, the engine rebuilds it from chunk 0, which
// is the description of a generated model, and the digests of the other chunks (see SyntheticModel.h).
// The SHA-256 of the manifest is the digest reported in the status and carried by each token; it is never
// copied from an order. An order to load that names another digest is refused with `bad_weights`.
//
// Each token is a line "PREFIX IDENTIFIER NUMBER": the first digits of the digest of the weights loaded
// when the token is generated, the first word of the prompt, and the number of the token. A request that
// is running while other weights are loaded goes on with these, so that mixed answers can be seen.
// With the header X-Adapter, PREFIX also has the first digits of the adapter, while it is loaded. Adapters
// are delivered as weights are, and verified in the same way.
class ModelEngine {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit ModelEngine(EngineOptions);
    ~ModelEngine();

    uint16_t port() const;

    EngineStatus status() const;
    EngineCounters counters() const;

    EngineBehaviour behaviour() const;
    void setBehaviour(const EngineBehaviour&);

    // Loses everything and takes a new incarnation, as a restart without notice does.
    void crash();

    // Turns a ready engine cold for the cold time of the behaviour.
    void coolDown();

    // Leaves the requests held now without an answer for good; their connections stay open.
    void stallActiveRequests();

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
