#include "Process/AgentSituation.h"

namespace Lavenderloft::Process {

AgentSituation::AgentSituation(const Settings::ProcessSettings& settings, const ControlView& control, const Base::Clock& clock)
    : m_settings(settings)
    , m_control(control)
    , m_pauseDetector(clock)
{
}

Admission::AdmissionContext AgentSituation::admissionContext() const
{
    Admission::AdmissionContext situation;
    situation.document = m_control.document();
    situation.vm = m_settings.vm;
    situation.dataCentre = m_settings.dataCentre;
    situation.kind = m_settings.target->kind;
    situation.service = m_settings.target->service;
    // The VM list may tell that the VM leaves before anyone stops the process.
    situation.isLeaving = m_isLeaving || m_control.self().status == Membership::Status::Leaving;
    situation.isSynchronised = m_pauseDetector.isRunning() && m_control.isSynchronised();
    std::lock_guard guard(m_lock);
    situation.servedPool = m_served.pool;
    situation.servedDigest = m_served.digest;
    situation.servedAdapters = m_served.adapters;
    situation.isSwitching = m_isSwitching;
    return situation;
}

void AgentSituation::setServed(Placement::Queries::ServedWeights served, bool isSwitching)
{
    std::lock_guard guard(m_lock);
    m_served = std::move(served);
    m_isSwitching = isSwitching;
}

} // namespace Lavenderloft::Process
