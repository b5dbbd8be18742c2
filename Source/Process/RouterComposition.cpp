#include "Process/RouterComposition.h"

#include "Process/RouterBuilder.h"

#include <grpcpp/grpcpp.h>
#include <stdexcept>

namespace Lavenderloft::Process {

RouterComposition::RouterComposition(const Settings::ProcessSettings& settings, ExternalDependencies dependencies)
    : m_host(settings.inner.substr(0, settings.inner.rfind(':')))
    , m_stack(settings, Membership::Role::Router, std::move(dependencies))
    , m_server(startInnerServer(settings.inner))
    , m_router(RouterBuilder(settings, m_stack.node(), m_stack.clock(), *m_stack.metrics()).random(m_stack.random()).credentials(m_stack.credentials()).channels(m_stack.channels()).build())
{
    forwardCrashEvidence();
}

void RouterComposition::start()
{
    m_stack.node().start(m_host + ':' + std::to_string(m_innerPort));
}

RouterComposition::~RouterComposition()
{
    // Stops the server and the control plane first, because both call the router.
    m_server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    m_stack.node().stop();
}

bool RouterComposition::drain(Base::Duration limit)
{
    return m_router->drain(limit);
}

std::unique_ptr<grpc::Server> RouterComposition::startInnerServer(const std::string& address)
{
    grpc::ServerBuilder builder;
    // A second process for the same VM must fail to bind the port; with SO_REUSEPORT it would share it.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, m_stack.credentials()->server(), &m_innerPort);
    builder.RegisterService(&m_stack.service().service());
    auto server = builder.BuildAndStart();
    if (!server || !m_innerPort)
        throw std::runtime_error("setting \"inner\": " + address + " cannot be bound; check that no other process uses it");
    return server;
}

// Forwards the crash evidence of agents to the router's quarantine.
void RouterComposition::forwardCrashEvidence()
{
    m_stack.node().onChange([this] {
        std::vector<Routing::CrashReport> crashReports;
        for (auto& evidence : m_stack.node().crashEvidence())
            crashReports.push_back({ evidence.fingerprint, evidence.target, evidence.age });
        m_router->merge(crashReports);
    });
}

} // namespace Lavenderloft::Process
