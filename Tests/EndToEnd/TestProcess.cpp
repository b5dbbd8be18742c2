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

ProcessSwitches::ProcessSwitches(const ProcessPlace& place)
    : m_clock(std::make_shared<SkippingClock>())
    , m_peers(std::make_shared<SwitchedPeers>(place.faults))
    , m_source(std::make_shared<SwitchedSource>(endpointOf(place.settings.configurationService), endpointOf(place.settings.vmList)))
    , m_channels(place.channels)
{
}

Process::ExternalDependencies ProcessSwitches::parts() const
{
    return { m_clock, std::shared_ptr<Membership::PeerClient>(m_peers, &m_peers->stale), m_source, m_channels };
}

void ProcessSwitches::setAddress(std::string address)
{
    m_address = address;
    m_peers->faulty.setOwnAddress(std::move(address));
}

TestRouter::TestRouter(const ProcessPlace& place)
    : m_switches(place)
    , m_router(place.settings, m_switches.parts())
{
    m_switches.setAddress(loopback(m_router.innerPort()));
    m_router.start();
}

TestAgent::TestAgent(const ProcessPlace& place)
    : m_vm(place.settings.vm)
    , m_switches(place)
    , m_agent(place.settings, m_switches.parts())
{
    m_switches.setAddress(loopback(m_agent.process().innerPort()));
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
