#include "Process/RouterLauncher.h"

#include "Observability/Log.h"
#include "Process/ControlStack.h"
#include "Process/Events.h"
#include "Process/RouterBuilder.h"

#include <boost/asio.hpp>
#include <csignal>
#include <grpcpp/grpcpp.h>
#include <stdexcept>

namespace Lavenderloft::Process {

namespace {

    // The platform gives a VM this long after SIGTERM.
    constexpr std::chrono::seconds drainLimit { 60 };

    std::unique_ptr<grpc::Server> startInnerServer(const std::string& address, grpc::Service& service, const Transport::Credentials& credentials, int& port)
    {
        grpc::ServerBuilder builder;
        // Only one process at a time may serve a VM's name.
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddListeningPort(address, credentials.server(), &port);
        builder.RegisterService(&service);
        auto server = builder.BuildAndStart();
        if (!server || !port)
            throw std::runtime_error("setting \"inner\": " + address + " cannot be bound; check that no other process uses it");
        return server;
    }

    // Gives the router's quarantine what agents report of crashes.
    void shareCrashEvidence(ControlNode& control, RouterProcess& router)
    {
        control.onChange([&control, &router] {
            std::vector<Routing::Suspicion> suspicions;
            for (auto& evidence : control.crashEvidence())
                suspicions.push_back({ evidence.fingerprint, evidence.target, evidence.age });
            router.merge(suspicions);
        });
    }

    void waitForStopSignal()
    {
        boost::asio::io_context context;
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code&, int) {});
        context.run();
    }

} // namespace

void runRouter(const Settings::ProcessSettings& settings)
{
    ControlStack stack(settings, Membership::Role::Router);
    int innerPort = 0;
    auto server = startInnerServer(settings.inner, stack.service().service(), *stack.credentials(), innerPort);
    auto router = RouterBuilder(settings, stack.node(), stack.clock(), *stack.metrics()).random(stack.random()).credentials(stack.credentials()).build();
    shareCrashEvidence(stack.node(), *router);
    stack.node().start(settings.inner.substr(0, settings.inner.rfind(':')) + ':' + std::to_string(innerPort));
    Observability::logEvent(processStarted, { { "role", "router" }, { "vm", settings.vm }, { "innerPort", innerPort }, { "callersPort", router->callersPort() }, { "adminPort", router->adminPort() } });

    waitForStopSignal();
    Observability::logEvent(processStopping, { { "vm", settings.vm }, { "running", router->runningRequests() } });
    stack.node().publishLeaving();
    router->drain(drainLimit);
    stack.node().stop();
    server->Shutdown(std::chrono::system_clock::now() + std::chrono::seconds(1));
    Observability::logEvent(processStopped, { { "vm", settings.vm } });
}

} // namespace Lavenderloft::Process
