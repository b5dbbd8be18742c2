#pragma once

#include "Process/AgentProcess.h"
#include "Process/ControlStack.h"
#include "Process/WeightNode.h"

#include <memory>

namespace Lavenderloft::Process {

// A whole agent: control plane, weights, and the process beside the target.
class AgentComposition {
public:
    // Binds the ports. Throws std::runtime_error with the setting at fault.
    explicit AgentComposition(const Settings::ProcessSettings&, ExternalDependencies = {});
    ~AgentComposition();

    // Serves until a stop is requested, by a function or by SIGTERM or SIGINT. To be called once.
    void run();

    // Begins a graceful shutdown; run() returns once the running requests have ended. From any thread.
    void requestStop();

    // Makes run() return at once and cuts running requests. From any thread.
    void abort();

    AgentProcess& process() { return *m_agent; }
    ControlNode& control() { return m_stack.node(); }
    Observability::Metrics& metrics() { return *m_stack.metrics(); }

private:
    class CrashPublisher;
    class NoWeights;

    std::unique_ptr<AgentProcess> makeAgent();

    const Settings::ProcessSettings m_settings;
    ControlStack m_stack;
    std::unique_ptr<NoWeights> m_noWeights;
    // Null for a plain service.
    std::unique_ptr<WeightNode> m_weights;
    std::unique_ptr<CrashPublisher> m_crashes;
    std::unique_ptr<AgentProcess> m_agent;
};

} // namespace Lavenderloft::Process
