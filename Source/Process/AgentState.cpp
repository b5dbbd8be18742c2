#include "Process/AgentState.h"

namespace Lavenderloft::Process {

AgentState::AgentState(const Settings::ProcessSettings& settings, const ControlView& control, const Base::Clock& clock)
    : m_settings(settings)
    , m_control(control)
    , m_pauseDetector(clock)
{
}

Admission::AdmissionContext AgentState::admissionContext() const
{
    Admission::AdmissionContext context;
    context.document = m_control.document();
    context.vm = m_settings.vm;
    context.dataCentre = m_settings.dataCentre;
    context.kind = m_settings.target->kind;
    context.service = m_settings.target->service;
    // The VM list may mark the VM as leaving before the process receives a stop signal.
    context.isLeaving = m_isLeaving || m_control.self().status == Membership::Status::Leaving;
    context.isSynchronised = m_pauseDetector.isRunning() && m_control.isSynchronised();
    std::lock_guard guard(m_lock);
    context.servedPool = m_served.pool;
    context.servedDigest = m_served.digest;
    context.servedAdapters = m_served.adapters;
    context.isSwitching = m_isSwitching;
    return context;
}

void AgentState::setServed(Placement::Queries::ServedWeights served, bool isSwitching)
{
    std::lock_guard guard(m_lock);
    m_served = std::move(served);
    m_isSwitching = isSwitching;
}

} // namespace Lavenderloft::Process
