#pragma once

#include "Admission/AdmissionContextSource.h"
#include "Admission/PauseDetector.h"
#include "Placement/Queries/ServedPool.h"
#include "Process/ControlView.h"
#include "Settings/ProcessSettings.h"

#include <atomic>
#include <mutex>

namespace Lavenderloft::Process {

// State of an agent that its components share, combined into the context for admission decisions. Thread-safe.
class AgentState final : public Admission::AdmissionContextSource {
public:
    AgentState(const Settings::ProcessSettings&, const ControlView&, const Base::Clock&);

    Admission::AdmissionContext admissionContext() const override;

    void setServed(Placement::Queries::ServedWeights, bool isSwitching);
    void setLeaving() { m_isLeaving = true; }
    bool isLeaving() const { return m_isLeaving; }

    Admission::PauseDetector& pauseDetector() { return m_pauseDetector; }

private:
    const Settings::ProcessSettings& m_settings;
    const ControlView& m_control;
    Admission::PauseDetector m_pauseDetector;
    std::atomic<bool> m_isLeaving { false };
    mutable std::mutex m_lock;
    Placement::Queries::ServedWeights m_served;
    bool m_isSwitching = false;
};

} // namespace Lavenderloft::Process
