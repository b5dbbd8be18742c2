#include "Process/RouterBuilder.h"

#include "Base/SeededRandom.h"
#include "Process/ProcessCredentials.h"
#include "Routing/TwoChoicesPolicy.h"
#include "Transport/TargetClient.h"

namespace Lavenderloft::Process {

RouterBuilder::RouterBuilder(Settings::ProcessSettings settings, ControlView& control, const Base::Clock& clock, Observability::Metrics& metrics)
    : m_dependencies { std::move(settings), control, clock, metrics, nullptr, nullptr, nullptr }
{
}

RouterBuilder& RouterBuilder::policy(std::shared_ptr<const Routing::TargetPolicy> policy)
{
    m_dependencies.policy = std::move(policy);
    return *this;
}

RouterBuilder& RouterBuilder::channels(std::shared_ptr<Routing::TargetChannels> channels)
{
    m_dependencies.channels = std::move(channels);
    return *this;
}

RouterBuilder& RouterBuilder::random(std::shared_ptr<Base::RandomSource> random)
{
    m_dependencies.random = std::move(random);
    return *this;
}

RouterBuilder& RouterBuilder::credentials(Transport::SharedCredentials credentials)
{
    m_credentials = std::move(credentials);
    return *this;
}

RouterBuilder& RouterBuilder::callerThreads(unsigned threads)
{
    m_dependencies.callerThreads = threads;
    return *this;
}

std::unique_ptr<RouterProcess> RouterBuilder::build()
{
    auto dependencies = m_dependencies;
    if (!dependencies.random)
        dependencies.random = std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice());
    if (!dependencies.policy)
        dependencies.policy = std::make_shared<Routing::TwoChoicesPolicy>();
    if (!dependencies.channels)
        dependencies.channels = std::make_shared<Transport::TargetClients>(m_credentials ? m_credentials : makeProcessCredentials(dependencies.settings));
    return std::make_unique<RouterProcess>(std::move(dependencies));
}

} // namespace Lavenderloft::Process
