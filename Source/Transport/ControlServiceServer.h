#pragma once

#include "Membership/ControlHandler.h"

#include <memory>

namespace grpc {
class Service;
}

namespace Lavenderloft::Transport {

// Offers the control service over gRPC and passes its calls to a handler.
class ControlServiceServer {
public:
    explicit ControlServiceServer(Membership::ControlHandler&);
    ~ControlServiceServer();

    // The service to register with the process's gRPC server.
    grpc::Service& service();

private:
    class Service;
    std::unique_ptr<Service> m_service;
};

} // namespace Lavenderloft::Transport
