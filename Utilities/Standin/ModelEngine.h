#pragma once

#include "Http/HttpMessage.h"
#include "Standin/EngineState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct EngineOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    EngineBehaviour behaviour;
};

// Stand-in for a model engine: weight delivery, load orders for models and adapters, continuous batching, cold starts
// and crashes.
//
// The engine hashes each chunk as it arrives and does not store its bytes. A manifest may be sent first, with
// PUT /engine/weights/{digest}/manifest; its SHA-256 must equal the digest, and each chunk must match it. Without a
// manifest, the engine rebuilds it from chunk 0, which is the description of a generated model, and the digests of the
// other chunks (see SyntheticModel.h). The SHA-256 of the manifest is the digest in the status and in each token; it is
// never copied from an order. A load order with another digest is rejected with `bad_weights`.
//
// Each token is a line "PREFIX IDENTIFIER NUMBER": the first digits of the digest of the weights that are loaded when
// the token is generated, the first word of the prompt, and the number of the token. A request that is running when
// other weights are loaded continues with the new weights, so that mixed responses can be detected. With the header
// X-Adapter, PREFIX also contains the first digits of the adapter's digest while the adapter is loaded. Adapters are
// delivered and verified like weights.
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

    // Drops all weights and requests and sets a new incarnation, like an unannounced restart.
    void crash();

    // Makes a ready engine cold for the cold time of the behaviour.
    void coolDown();

    // Never completes the current requests; their connections stay open.
    void stallActiveRequests();

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
