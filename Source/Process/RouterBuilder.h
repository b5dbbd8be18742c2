#pragma once

#include "Process/RouterProcess.h"
#include "Transport/Credentials.h"

namespace Lavenderloft::Process {

// Builds a RouterProcess. Settings, control plane, clock and metrics are required. By default, the policy is
// TwoChoicesPolicy, the channels use gRPC and the random source is seeded by the operating system.
class RouterBuilder {
public:
    RouterBuilder(Settings::ProcessSettings, ControlView&, const Base::Clock&, Observability::Metrics&);

    RouterBuilder& policy(std::shared_ptr<const Routing::TargetPolicy>);
    RouterBuilder& channels(std::shared_ptr<Routing::TargetChannels>);
    RouterBuilder& random(std::shared_ptr<Base::RandomSource>);
    // Credentials of the connections to agents; by default, created from the settings.
    RouterBuilder& credentials(Transport::SharedCredentials);
    // Number of threads that serve the connections of callers.
    RouterBuilder& callerThreads(unsigned);

    // Throws std::runtime_error that names the setting if a port cannot be bound or a certificate is not usable.
    std::unique_ptr<RouterProcess> build();

private:
    RouterProcess::Dependencies m_dependencies;
    Transport::SharedCredentials m_credentials;
};

} // namespace Lavenderloft::Process
