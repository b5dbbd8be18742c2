#pragma once

#include "Process/RouterProcess.h"
#include "Transport/Credentials.h"

namespace Lavenderloft::Process {

// Builds a router. Settings, control plane, clock and metrics are required; the policy, the channels
// and the random source have defaults: two choices, gRPC and a source seeded by the operating system.
class RouterBuilder {
public:
    RouterBuilder(Settings::ProcessSettings, ControlView&, const Base::Clock&, Observability::Metrics&);

    RouterBuilder& policy(std::shared_ptr<const Routing::TargetPolicy>);
    RouterBuilder& channels(std::shared_ptr<Routing::TargetChannels>);
    RouterBuilder& random(std::shared_ptr<Base::RandomSource>);
    // Protection of the connections to agents; made from the settings by default.
    RouterBuilder& credentials(Transport::SharedCredentials);
    // Threads that serve callers' connections.
    RouterBuilder& callerThreads(unsigned);

    // Throws std::runtime_error with the setting at fault if a port can't be bound or a certificate is unusable.
    std::unique_ptr<RouterProcess> build();

private:
    RouterProcess::Parts m_parts;
    Transport::SharedCredentials m_credentials;
};

} // namespace Lavenderloft::Process
