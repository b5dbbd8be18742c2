#include "Process/ControlStack.h"

#include "Process/ProcessCredentials.h"

#include <stdexcept>

namespace Lavenderloft::Process {

namespace {

    Http::Endpoint endpointOf(const std::string& address, const char* setting)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error(std::string("setting \"") + setting + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    ExternalDependencies complete(ExternalDependencies parts, const Settings::ProcessSettings& settings, const Transport::SharedCredentials& credentials)
    {
        if (!parts.clock)
            parts.clock = std::make_shared<Base::SystemClock>();
        if (!parts.peers)
            parts.peers = std::make_shared<Transport::ControlServiceClient>(credentials);
        if (!parts.source)
            parts.source = std::make_shared<HttpConfigurationSource>(endpointOf(settings.configurationService, "configurationService"), endpointOf(settings.vmList, "vmList"));
        return parts;
    }

} // namespace

ControlStack::ControlStack(const Settings::ProcessSettings& settings, Membership::Role role, ExternalDependencies outside)
    : m_credentials(credentialsOf(settings))
    , m_outside(complete(std::move(outside), settings, m_credentials))
    , m_random(std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice()))
    , m_metrics(std::make_shared<Observability::Metrics>())
{
    m_node = std::make_unique<ControlNode>(settings, role, ControlNodeDependencies { *m_outside.clock, *m_random, *m_outside.peers, *m_outside.source, *m_metrics });
    m_service = std::make_unique<Transport::ControlServiceServer>(*m_node);
}

} // namespace Lavenderloft::Process
