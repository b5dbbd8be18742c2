#pragma once

#include "Base/SeededRandom.h"
#include "Base/SystemClock.h"
#include "Observability/Metrics.h"
#include "Process/ControlNode.h"
#include "Process/HttpConfigurationSource.h"
#include "Routing/TargetChannel.h"
#include "Settings/ProcessSettings.h"
#include "Transport/ControlServiceClient.h"
#include "Transport/ControlServiceServer.h"
#include "Transport/Credentials.h"
#include "Transport/GrpcLog.h"

#include <memory>

namespace Lavenderloft::Process {

// Replacements for the external dependencies of a process. A null member selects the default implementation.
struct ExternalDependencies {
    std::shared_ptr<const Base::Clock> clock;
    std::shared_ptr<Membership::PeerClient> peers;
    std::shared_ptr<ConfigurationSource> source;
    // Routers only.
    std::shared_ptr<Routing::TargetChannels> channels;
};

// Components common to routers and agents: clock, random source, metrics and the control plane with its transport.
class ControlStack {
public:
    // Throws std::runtime_error that names the invalid setting.
    ControlStack(const Settings::ProcessSettings&, Membership::Role, ExternalDependencies = {});

    const Base::Clock& clock() const { return *m_dependencies.clock; }
    // Null unless the channels to targets are replaced.
    const std::shared_ptr<Routing::TargetChannels>& channels() const { return m_dependencies.channels; }
    const std::shared_ptr<Base::RandomSource>& random() const { return m_random; }
    const std::shared_ptr<Observability::Metrics>& metrics() const { return m_metrics; }
    const Transport::SharedCredentials& credentials() const { return m_credentials; }
    ControlNode& node() { return *m_node; }
    Transport::ControlServiceServer& service() { return *m_service; }

private:
    Transport::GrpcLog m_grpcLog;
    const Transport::SharedCredentials m_credentials;
    const ExternalDependencies m_dependencies;
    std::shared_ptr<Base::RandomSource> m_random;
    std::shared_ptr<Observability::Metrics> m_metrics;
    std::unique_ptr<ControlNode> m_node;
    std::unique_ptr<Transport::ControlServiceServer> m_service;
};

} // namespace Lavenderloft::Process
