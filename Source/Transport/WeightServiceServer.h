#pragma once

#include "Base/Clock.h"
#include "Weights/LinkLimiter.h"
#include "Weights/WeightState.h"

#include <memory>
#include <string>

namespace grpc {
class Service;
}

namespace Lavenderloft::Transport {

// The gRPC implementation of WeightService, which serves the weights of this agent to other agents. Only encodes and
// decodes messages; Weights::Queries::uploadsToStart decides which uploads may start.
class WeightServiceServer {
public:
    WeightServiceServer(std::shared_ptr<Weights::WeightState>, std::shared_ptr<Weights::LinkLimiter>, const Base::Clock&, std::string ownRegion);
    ~WeightServiceServer();

    // For registration with the gRPC server, which must be shut down before this object is destroyed.
    grpc::Service& service();

    // Starts the uploads that may start now and refuses those that are overdue. Must be called periodically.
    void processUploadQueue();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Lavenderloft::Transport
