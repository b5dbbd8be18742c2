#include "Process/RouterBuilder.h"

#include "Base/SeededRandom.h"
#include "Process/ProcessCredentials.h"
#include "Routing/TwoChoicesPolicy.h"
#include "Transport/TargetClient.h"

namespace Lavenderloft::Process {

RouterBuilder::RouterBuilder(Settings::ProcessSettings settings, ControlView& control, const Base::Clock& clock, Observability::Metrics& metrics)
    : m_parts { std::move(settings), control, clock, metrics, nullptr, nullptr, nullptr }
{
}

RouterBuilder& RouterBuilder::policy(std::shared_ptr<const Routing::TargetPolicy> policy)
{
    m_parts.policy = std::move(policy);
    return *this;
}

RouterBuilder& RouterBuilder::channels(std::shared_ptr<Routing::TargetChannels> channels)
{
    m_parts.channels = std::move(channels);
    return *this;
}

RouterBuilder& RouterBuilder::random(std::shared_ptr<Base::RandomSource> random)
{
    m_parts.random = std::move(random);
    return *this;
}

RouterBuilder& RouterBuilder::credentials(Transport::SharedCredentials credentials)
{
    m_credentials = std::move(credentials);
    return *this;
}

RouterBuilder& RouterBuilder::callerThreads(unsigned threads)
{
    m_parts.callerThreads = threads;
    return *this;
}

std::unique_ptr<RouterProcess> RouterBuilder::build()
{
    auto parts = m_parts;
    if (!parts.random)
        parts.random = std::make_shared<Base::SeededRandom>(Base::SeededRandom::fromDevice());
    if (!parts.policy)
        parts.policy = std::make_shared<Routing::TwoChoicesPolicy>();
    if (!parts.channels)
        parts.channels = std::make_shared<Transport::TargetClients>(m_credentials ? m_credentials : credentialsOf(parts.settings));
    return std::make_unique<RouterProcess>(std::move(parts));
}

} // namespace Lavenderloft::Process
