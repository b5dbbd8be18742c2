#pragma once

#include "EndToEnd/FaultSwitches.h"
#include "Process/AgentComposition.h"
#include "Process/RouterComposition.h"

#include <memory>
#include <thread>

namespace Lavenderloft::Testing {

// Where a process runs and what it reaches.
struct ProcessPlace {
    Settings::ProcessSettings settings;
    const Bench::Spread::NetworkFaults& faults;
    // Replaces a router's channels to targets; null for the real ones.
    std::shared_ptr<Routing::TargetChannels> channels;
};

// The fault switches of one process.
class ProcessSwitches {
public:
    explicit ProcessSwitches(const ProcessPlace&);

    Process::ExternalDependencies parts() const;

    // The process's own address, by which the network faults know it.
    void setAddress(std::string address);
    const std::string& address() const { return m_address; }

    SkippingClock& clock() { return *m_clock; }

    // Whether the process reaches the configuration service and the VM list.
    void cutOffFromPlatform(bool cutOff) { m_source->isCutOff = cutOff; }

    // Makes the configuration service return its document also when it is older than the one in force.
    void readWhateverServiceHolds() { m_source->ignoresPosition = true; }

    // Whether answers of peers show what they said last.
    void makePeersStale(bool stale) { m_peers->stale.isStale = stale; }

private:
    std::shared_ptr<SkippingClock> m_clock;
    std::shared_ptr<SwitchedPeers> m_peers;
    std::shared_ptr<SwitchedSource> m_source;
    std::shared_ptr<Routing::TargetChannels> m_channels;
    std::string m_address;
};

// A real router with switches. Destruction ends it abruptly.
class TestRouter {
public:
    explicit TestRouter(const ProcessPlace&);

    Http::Endpoint callers() { return { "127.0.0.1", m_router.process().callersPort() }; }
    Process::ControlNode& control() { return m_router.control(); }
    Process::RouterProcess& process() { return m_router.process(); }
    ProcessSwitches& switches() { return m_switches; }

    // As on SIGTERM; returns whether all running requests ended.
    bool shutDown() { return m_router.drain(std::chrono::seconds(60)); }

private:
    ProcessSwitches m_switches;
    Process::RouterComposition m_router;
};

// A real agent with switches. Destruction ends it abruptly.
class TestAgent {
public:
    explicit TestAgent(const ProcessPlace&);
    ~TestAgent();

    Process::ControlNode& control() { return m_agent.control(); }
    const Admission::TargetState& targetState() { return m_agent.process().targetState(); }
    ProcessSwitches& switches() { return m_switches; }
    const std::string& vm() const { return m_vm; }

    // As on SIGTERM; returns once the running requests have ended.
    void shutDown();

private:
    const std::string m_vm;
    ProcessSwitches m_switches;
    Process::AgentComposition m_agent;
    std::thread m_thread;
};

} // namespace Lavenderloft::Testing
