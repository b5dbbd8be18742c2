#pragma once

#include "Process/ControlStack.h"
#include "Process/RouterProcess.h"

#include <grpcpp/server.h>
#include <memory>

namespace Lavenderloft::Process {

// A whole router: control plane, inner server, and the process that serves callers.
class RouterComposition {
public:
    // Binds the ports. Throws std::runtime_error with the setting at fault.
    explicit RouterComposition(const Settings::ProcessSettings&, ExternalDependencies = {});

    // Ends the process; requests that still run are cut.
    ~RouterComposition();

    // Joins the control plane; callers are served once it is synchronised.
    void start();

    // Graceful shutdown: tells peers, stops accepting and waits for running requests, at most for the time
    // given. Returns whether all of them ended.
    bool drain(Base::Duration limit);

    int innerPort() const { return m_innerPort; }
    RouterProcess& process() { return *m_router; }
    ControlNode& control() { return m_stack.node(); }
    Observability::Metrics& metrics() { return *m_stack.metrics(); }

private:
    std::unique_ptr<grpc::Server> startInnerServer(const std::string& address);
    void shareCrashEvidence();

    const std::string m_host;
    ControlStack m_stack;
    int m_innerPort = 0;
    std::unique_ptr<grpc::Server> m_server;
    std::unique_ptr<RouterProcess> m_router;
};

} // namespace Lavenderloft::Process
