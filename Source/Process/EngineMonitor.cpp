#include "Process/EngineMonitor.h"

#include "Admission/Commands/AdjustLimit.h"
#include "Admission/Commands/RunRequest.h"
#include "Admission/Events.h"
#include "Admission/Queries/CurrentLimit.h"
#include "Observability/Log.h"
#include "Placement/Events.h"

namespace Lavenderloft::Process {

namespace {

    // A single failed poll may be due to transient load.
    constexpr unsigned pollsUntilUnreachable = 2;

} // namespace

EngineMonitor::EngineMonitor(Placement::EngineClient& engine, AgentState& agentState, TargetContext& target, ReplicaDriver& driver, const ControlView& control, Admission::CrashObserver* crashObserver)
    : m_engine(engine)
    , m_agentState(agentState)
    , m_target(target)
    , m_driver(driver)
    , m_control(control)
    , m_crashObserver(crashObserver)
{
}

void EngineMonitor::poll()
{
    auto status = m_engine.status();
    if (Base::succeeded(status))
        handleStatus(Base::valueOf(status));
    else
        handleFailedPoll(Base::errorOf(status).describe());
}

void EngineMonitor::handleStatus(const Placement::EngineStatus& status)
{
    logChange(status);
    m_failedPolls = 0;
    m_lastStatus = status;
    updateByteLimit(status);
    apply(status);
    m_agentState.pauseDetector().resume();
}

void EngineMonitor::handleFailedPoll(const std::string& reason)
{
    if (++m_failedPolls != pollsUntilUnreachable)
        return;
    Observability::logEvent(Placement::engineUnreachable, { { "reason", reason } });
    apply(std::nullopt);
}

void EngineMonitor::logChange(const Placement::EngineStatus& status) const
{
    if (m_lastStatus && m_lastStatus->incarnation == status.incarnation && m_lastStatus->mode == status.mode && m_lastStatus->digest == status.digest)
        return;
    Observability::logEvent(Placement::engineChanged, { { "incarnation", status.incarnation }, { "mode", static_cast<int>(status.mode) }, { "digest", status.digest } });
}

void EngineMonitor::updateByteLimit(const Placement::EngineStatus& status)
{
    if (!status.running && !status.queued)
        m_idleMemoryBytes = status.memoryBytes;
    m_target.state.permits.occupancy.setByteLimit(Admission::Queries::requestByteLimit(status.memoryLimitBytes, m_idleMemoryBytes));
}

void EngineMonitor::applyLimits(const std::string& pool)
{
    auto document = m_control.document();
    auto* found = document ? document->findPool(pool) : nullptr;
    if (found)
        Admission::Commands::configureLimit(m_target.state.limit, { found->coldLimit, found->fullLimit, found->warmWindow });
}

void EngineMonitor::apply(const std::optional<Placement::EngineStatus>& status)
{
    auto served = m_driver.observeEngine(status);
    applyLimits(served.pool);
    Admission::EngineCondition condition;
    condition.isReachable = status.has_value();
    if (m_lastStatus) {
        condition.incarnation = m_lastStatus->incarnation;
        condition.digest = m_lastStatus->digest;
    }
    condition.isUsable = !served.pool.empty();
    condition.isWarm = status && status->mode == Placement::EngineMode::Ready;
    auto crashed = Admission::Commands::applyEngineCondition(m_target.state, condition, m_target.clock);
    if (crashed.empty())
        return;
    Observability::logEvent(Admission::engineCrashed, { { "requests", crashed.size() } });
    m_target.metrics.count("lavenderloft_engine_crashes_total");
    if (m_crashObserver)
        m_crashObserver->engineCrashed(crashed);
}

} // namespace Lavenderloft::Process
