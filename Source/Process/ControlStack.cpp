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

} // namespace

ControlStack::ControlStack(const Settings::ProcessSettings& settings, Membership::Role role)
    : m_random(std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice()))
    , m_metrics(std::make_shared<Observability::Metrics>())
    , m_credentials(credentialsOf(settings))
    , m_peers(m_credentials)
    , m_source(std::make_unique<HttpConfigurationSource>(endpointOf(settings.configurationService, "configurationService"), endpointOf(settings.vmList, "vmList")))
{
    m_node = std::make_unique<ControlNode>(settings, role, ControlNodeParts { m_clock, *m_random, m_peers, *m_source, *m_metrics });
    m_service = std::make_unique<Transport::ControlServiceServer>(*m_node);
}

} // namespace Lavenderloft::Process
