#pragma once

#include "Admission/CrashObserver.h"
#include "Process/AgentState.h"
#include "Process/ReplicaDriver.h"
#include "Process/TargetContext.h"

#include <optional>

namespace Lavenderloft::Process {

// Polls the engine and passes its status to Admission and Placement. Not thread-safe; used by the timer thread.
class EngineMonitor {
public:
    EngineMonitor(Placement::EngineClient&, AgentState&, TargetContext&, ReplicaDriver&, const ControlView&, Admission::CrashObserver*);

    // Polls the engine once and waits for its response.
    void poll();

private:
    void handleStatus(const Placement::EngineStatus&);
    void handleFailedPoll(const std::string& reason);
    void updateByteLimit(const Placement::EngineStatus&);
    void applyLimits(const std::string& pool);
    void apply(const std::optional<Placement::EngineStatus>&);
    void logChange(const Placement::EngineStatus&) const;

    Placement::EngineClient& m_engine;
    AgentState& m_agentState;
    TargetContext& m_target;
    ReplicaDriver& m_driver;
    const ControlView& m_control;
    Admission::CrashObserver* m_crashObserver;
    std::optional<Placement::EngineStatus> m_lastStatus;
    unsigned m_failedPolls = 0;
    // Memory that the engine used while no request was running or queued.
    uint64_t m_idleMemoryBytes = 0;
};

} // namespace Lavenderloft::Process
