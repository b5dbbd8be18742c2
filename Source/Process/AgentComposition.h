#pragma once

#include "Process/AgentProcess.h"
#include "Process/ControlStack.h"
#include "Process/WeightNode.h"

#include <memory>

namespace Lavenderloft::Process {

// Composes an agent: control plane, weight distribution and AgentProcess.
class AgentComposition {
public:
    // Binds the ports. Throws std::runtime_error that names the invalid setting.
    explicit AgentComposition(const Settings::ProcessSettings&, ExternalDependencies = {});
    ~AgentComposition();

    // Serves until requestStop(), abort(), SIGTERM or SIGINT. Call once.
    void run();

    // Begins a graceful shutdown; run() returns once the running requests have ended. Thread-safe.
    void requestStop();

    // Makes run() return immediately and aborts running requests. Thread-safe.
    void abort();

    AgentProcess& process() { return *m_agent; }
    ControlNode& control() { return m_stack.node(); }
    Observability::Metrics& metrics() { return *m_stack.metrics(); }

private:
    class CrashPublisher;
    class EmptyWeightProvider;

    std::unique_ptr<AgentProcess> makeAgent();

    const Settings::ProcessSettings m_settings;
    ControlStack m_stack;
    std::unique_ptr<EmptyWeightProvider> m_emptyWeights;
    // Null for a plain service.
    std::unique_ptr<WeightNode> m_weights;
    std::unique_ptr<CrashPublisher> m_crashes;
    std::unique_ptr<AgentProcess> m_agent;
};

} // namespace Lavenderloft::Process
