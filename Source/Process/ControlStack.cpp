#include "Process/ControlStack.h"

#include "Process/ProcessCredentials.h"

#include <stdexcept>

namespace Lavenderloft::Process {

namespace {

    Http::Endpoint parseEndpointSetting(const std::string& address, const char* setting)
    {
        auto endpoint = Http::parseEndpoint(address);
        if (!Base::succeeded(endpoint))
            throw std::runtime_error(std::string("setting \"") + setting + "\": " + Base::errorOf(endpoint).describe());
        return Base::valueOf(endpoint);
    }

    ExternalDependencies withDefaults(ExternalDependencies dependencies, const Settings::ProcessSettings& settings, const Transport::SharedCredentials& credentials)
    {
        if (!dependencies.clock)
            dependencies.clock = std::make_shared<Base::SystemClock>();
        if (!dependencies.peers)
            dependencies.peers = std::make_shared<Transport::ControlServiceClient>(credentials);
        if (!dependencies.source)
            dependencies.source = std::make_shared<HttpConfigurationSource>(parseEndpointSetting(settings.configurationService, "configurationService"), parseEndpointSetting(settings.vmList, "vmList"));
        return dependencies;
    }

} // namespace

ControlStack::ControlStack(const Settings::ProcessSettings& settings, Membership::Role role, ExternalDependencies dependencies)
    : m_credentials(makeProcessCredentials(settings))
    , m_dependencies(withDefaults(std::move(dependencies), settings, m_credentials))
    , m_random(std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice()))
    , m_metrics(std::make_shared<Observability::Metrics>())
{
    m_node = std::make_unique<ControlNode>(settings, role, ControlNodeDependencies { *m_dependencies.clock, *m_random, *m_dependencies.peers, *m_dependencies.source, *m_metrics });
    m_service = std::make_unique<Transport::ControlServiceServer>(*m_node);
}

} // namespace Lavenderloft::Process
