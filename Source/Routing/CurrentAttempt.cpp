#include "Routing/CurrentAttempt.h"

#include "Routing/Commands/RecordCrash.h"

namespace Lavenderloft::Routing {

CurrentAttempt::CurrentAttempt(RoutingContext& context, uint64_t fingerprint)
    : m_context(context)
    , m_fingerprint(fingerprint)
{
}

std::shared_ptr<Attempt> CurrentAttempt::open(std::shared_ptr<Target> target, const AdmissionRequest& admission, ResponseMatcher matcher, std::shared_ptr<AttemptEvents> events)
{
    m_id = admission.attemptId;
    m_target = std::move(target);
    m_target->attemptStarted();
    m_matcher = std::move(matcher);
    m_channel = m_context.channels.channelTo(m_target->address());
    m_attempt = m_channel->open(admission, std::move(events));
    return m_attempt;
}

std::shared_ptr<Attempt> CurrentAttempt::permit(const Permit& permit)
{
    m_isSent = true;
    m_permit = permit;
    Commands::recordRunStart(m_context.quarantine, m_target->vm(), m_fingerprint);
    return m_attempt;
}

std::shared_ptr<Attempt> CurrentAttempt::release()
{
    if (!m_attempt)
        return nullptr;
    if (std::exchange(m_isSent, false))
        Commands::recordRunEnd(m_context.quarantine, m_target->vm(), m_fingerprint);
    m_target->attemptEnded();
    return std::exchange(m_attempt, nullptr);
}

} // namespace Lavenderloft::Routing
