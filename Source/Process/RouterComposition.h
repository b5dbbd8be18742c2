#pragma once

#include "Process/ControlStack.h"
#include "Process/RouterProcess.h"

#include <grpcpp/server.h>
#include <memory>

namespace Lavenderloft::Process {

// Composes a router: control plane, inner gRPC server and RouterProcess.
class RouterComposition {
public:
    // Binds the ports. Throws std::runtime_error that names the invalid setting.
    explicit RouterComposition(const Settings::ProcessSettings&, ExternalDependencies = {});

    // Stops the process and aborts running requests.
    ~RouterComposition();

    // Starts the control plane. Callers are served once it is synchronised.
    void start();

    // Shuts down gracefully: notifies peers, stops accepting requests and waits for running ones until the limit.
    // Returns whether all of them ended.
    bool drain(Base::Duration limit);

    int innerPort() const { return m_innerPort; }
    RouterProcess& process() { return *m_router; }
    ControlNode& control() { return m_stack.node(); }
    Observability::Metrics& metrics() { return *m_stack.metrics(); }

private:
    std::unique_ptr<grpc::Server> startInnerServer(const std::string& address);
    void forwardCrashEvidence();

    const std::string m_host;
    ControlStack m_stack;
    int m_innerPort = 0;
    std::unique_ptr<grpc::Server> m_server;
    std::unique_ptr<RouterProcess> m_router;
};

} // namespace Lavenderloft::Process
