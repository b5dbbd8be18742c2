#pragma once

#include "Membership/ControlHandler.h"

#include <memory>

namespace grpc {
class Service;
}

namespace Lavenderloft::Transport {

// Serves ControlService over gRPC and forwards its calls to a handler.
class ControlServiceServer {
public:
    explicit ControlServiceServer(Membership::ControlHandler&);
    ~ControlServiceServer();

    // For registration with the gRPC server of the process.
    grpc::Service& service();

private:
    class Service;
    std::unique_ptr<Service> m_service;
};

} // namespace Lavenderloft::Transport
