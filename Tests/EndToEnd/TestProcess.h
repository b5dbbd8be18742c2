#pragma once

#include "EndToEnd/FaultInjection.h"
#include "Process/AgentComposition.h"
#include "Process/RouterComposition.h"

#include <memory>
#include <thread>

namespace Lavenderloft::Testing {

// Configuration of a process under test.
struct ProcessOptions {
    Settings::ProcessSettings settings;
    const Bench::Spread::NetworkFaults& networkFaults;
    // Replaces the router's channels to targets if not null.
    std::shared_ptr<Routing::TargetChannels> channels;
};

// Injects faults into the external dependencies of one process.
class FaultInjector {
public:
    explicit FaultInjector(const ProcessOptions&);

    Process::ExternalDependencies dependencies() const;

    // The address that identifies the process in NetworkFaults.
    void setAddress(std::string address);
    const std::string& address() const { return m_address; }

    PausableClock& clock() { return *m_clock; }

    // Whether calls to the configuration service and the VM list fail.
    void setDisconnectedFromPlatform(bool isDisconnected) { m_source->isDisconnected = isDisconnected; }

    // Makes reads return the configuration service's document even if it is older than the one in force.
    void ignoreHeldRevision() { m_source->ignoresHeldRevision = true; }

    // Whether the process receives only earlier responses of its peers.
    void makePeersStale(bool stale) { m_peers->stale.isStale = stale; }

private:
    std::shared_ptr<PausableClock> m_clock;
    std::shared_ptr<FaultyPeers> m_peers;
    std::shared_ptr<FaultyConfigurationSource> m_source;
    std::shared_ptr<Routing::TargetChannels> m_channels;
    std::string m_address;
};

// A router with fault injection. Destruction stops it without draining.
class TestRouter {
public:
    explicit TestRouter(const ProcessOptions&);

    Http::Endpoint callers() { return { "127.0.0.1", m_router.process().callersPort() }; }
    Process::ControlNode& control() { return m_router.control(); }
    Process::RouterProcess& process() { return m_router.process(); }
    FaultInjector& faults() { return m_faults; }

    // Drains the router as on SIGTERM. Returns whether all running requests have ended.
    bool shutDown() { return m_router.drain(std::chrono::seconds(60)); }

private:
    FaultInjector m_faults;
    Process::RouterComposition m_router;
};

// An agent with fault injection. Destruction stops it without draining.
class TestAgent {
public:
    explicit TestAgent(const ProcessOptions&);
    ~TestAgent();

    Process::ControlNode& control() { return m_agent.control(); }
    const Admission::TargetState& targetState() { return m_agent.process().targetState(); }
    FaultInjector& faults() { return m_faults; }
    const std::string& vm() const { return m_vm; }

    // Drains the agent as on SIGTERM. Returns when the running requests have ended.
    void shutDown();

private:
    const std::string m_vm;
    FaultInjector m_faults;
    Process::AgentComposition m_agent;
    std::thread m_thread;
};

} // namespace Lavenderloft::Testing
