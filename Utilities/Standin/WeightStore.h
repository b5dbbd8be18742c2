#pragma once

#include "Http/HttpMessage.h"
#include "Standin/WeightStoreState.h"

#include <memory>

namespace Lavenderloft::Standin {

struct WeightStoreOptions {
    Http::Endpoint listen { "127.0.0.1", 0 };
    // Total rate of all chunk responses.
    double bytesPerSecond = 1e9;
};

// Stand-in for the weight store, from which all weights originate.
class WeightStore {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit WeightStore(WeightStoreOptions);
    ~WeightStore();

    uint16_t port() const;

    // Generates a model and serves it. Throws std::invalid_argument if the spec is out of range.
    std::shared_ptr<const SyntheticModel> addModel(ModelSpec);

    void setRate(double bytesPerSecond);

    // Flips one bit in the next `times` responses for the chunk.
    void corruptChunk(const std::string& digest, unsigned times);

    // While down, the store aborts every call.
    void setDown(bool);

    // While stalled, chunk responses stop after their first part; they are aborted when the stall ends.
    void setStalled(bool);

    WeightStoreCounters counters() const;
    void resetCounters();

private:
    class Server;
    std::shared_ptr<Server> m_server;
};

} // namespace Lavenderloft::Standin
