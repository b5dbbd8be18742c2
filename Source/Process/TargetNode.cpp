#include "Process/TargetNode.h"

#include "Admission/Commands/RevokePermit.h"
#include "Process/AgentExchange.h"

namespace Lavenderloft::Process {

TargetNode::TargetNode(std::shared_ptr<TargetContext> context)
    : m_context(std::move(context))
{
}

std::shared_ptr<Admission::TargetExchange> TargetNode::open(std::shared_ptr<Admission::ResponseWriter> writer)
{
    return std::make_shared<AgentExchange>(m_context, std::move(writer));
}

Admission::AttemptResolution TargetNode::resolve(const std::string& attemptId, const std::string& permitId, uint64_t agentIncarnation)
{
    auto& permits = m_context->state.permits;
    if (!agentIncarnation || agentIncarnation == permits.agentIncarnation)
        Admission::Commands::revokePermit(permits, attemptId, permitId, m_context->clock);
    m_context->grantWaiting();
    return { Admission::Queries::attemptOutcome(permits, attemptId, agentIncarnation), permits.agentIncarnation };
}

} // namespace Lavenderloft::Process
