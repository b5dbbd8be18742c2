#include "EndToEnd/TestProcess.h"

#include "Base/Result.h"
#include "Http/HttpMessage.h"

namespace Lavenderloft::Testing {

namespace {

    Http::Endpoint endpointOf(const std::string& address)
    {
        return Base::valueOf(Http::parseEndpoint(address));
    }

    std::string loopback(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

} // namespace

FaultInjector::FaultInjector(const ProcessOptions& options)
    : m_clock(std::make_shared<PausableClock>())
    , m_peers(std::make_shared<FaultyPeers>(options.networkFaults))
    , m_source(std::make_shared<FaultyConfigurationSource>(endpointOf(options.settings.configurationService), endpointOf(options.settings.vmList)))
    , m_channels(options.channels)
{
}

Process::ExternalDependencies FaultInjector::dependencies() const
{
    return { m_clock, std::shared_ptr<Membership::PeerClient>(m_peers, &m_peers->stale), m_source, m_channels };
}

void FaultInjector::setAddress(std::string address)
{
    m_address = address;
    m_peers->faulty.setOwnAddress(std::move(address));
}

TestRouter::TestRouter(const ProcessOptions& options)
    : m_faults(options)
    , m_router(options.settings, m_faults.dependencies())
{
    m_faults.setAddress(loopback(m_router.innerPort()));
    m_router.start();
}

TestAgent::TestAgent(const ProcessOptions& options)
    : m_vm(options.settings.vm)
    , m_faults(options)
    , m_agent(options.settings, m_faults.dependencies())
{
    m_faults.setAddress(loopback(m_agent.process().innerPort()));
    m_thread = std::thread([this] { m_agent.run(); });
}

TestAgent::~TestAgent()
{
    m_agent.abort();
    if (m_thread.joinable())
        m_thread.join();
}

void TestAgent::shutDown()
{
    m_agent.requestStop();
    m_thread.join();
}

} // namespace Lavenderloft::Testing
