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

// The WeightService of an agent: answers other agents from the state. Encoding only; what may be sent when is decided
// by Weights::Queries::uploadsToStart.
class WeightService {
public:
    WeightService(std::shared_ptr<Weights::WeightState>, std::shared_ptr<Weights::LinkLimiter>, const Base::Clock&, std::string ownRegion);
    ~WeightService();

    // To be registered with the gRPC server, which must be shut down before this object is destroyed.
    grpc::Service& service();

    // Starts the uploads that may start now and refuses those that waited too long. To be called regularly.
    void pumpUploads();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Lavenderloft::Transport
