#pragma once

#include "Admission/CrashObserver.h"
#include "Process/AgentSituation.h"
#include "Process/ReplicaDriver.h"
#include "Process/TargetContext.h"

#include <optional>

namespace Lavenderloft::Process {

// Polls the engine and passes what it tells to Admission and Placement. Used by the timer's thread.
class EngineMonitor {
public:
    EngineMonitor(Placement::EngineClient&, AgentSituation&, TargetContext&, ReplicaDriver&, const ControlView&, Admission::CrashObserver*);

    // One poll; waits for the engine's answer.
    void poll();

private:
    void noteAnswer(const Placement::EngineStatus&);
    void noteSilence(const std::string& reason);
    void updateByteLimit(const Placement::EngineStatus&);
    void applyLimits(const std::string& pool);
    void apply(const std::optional<Placement::EngineStatus>&);
    void logChange(const Placement::EngineStatus&) const;

    Placement::EngineClient& m_engine;
    AgentSituation& m_situation;
    TargetContext& m_target;
    ReplicaDriver& m_driver;
    const ControlView& m_control;
    Admission::CrashObserver* m_crashObserver;
    std::optional<Placement::EngineStatus> m_last;
    unsigned m_silentPolls = 0;
    // Memory that the engine held when it ran nothing.
    uint64_t m_idleMemoryBytes = 0;
};

} // namespace Lavenderloft::Process
