#include "Process/TargetContext.h"

#include "Admission/Commands/AdmitRequest.h"
#include "Admission/Queries/FindRefusal.h"
#include "Admission/Queries/QueueStatistics.h"
#include "Admission/Queries/TargetLoad.h"

namespace Lavenderloft::Process {

TargetContext::TargetContext(uint64_t agentIncarnation, Settings::TargetKind targetKind, Http::Endpoint targetEndpoint, const Admission::AdmissionContextSource& source, Http::HttpClient& httpClient, const Base::Clock& timeSource, Base::RandomSource& randomSource, Observability::Metrics& registry)
    : kind(targetKind)
    , endpoint(std::move(targetEndpoint))
    , state(agentIncarnation, timeSource)
    , contextSource(source)
    , client(httpClient)
    , clock(timeSource)
    , random(randomSource)
    , metrics(registry)
{
}

void TargetContext::grantWaiting()
{
    if (Admission::Queries::isAccepting(contextSource.admissionContext()))
        Admission::Commands::grantWaiting(state, clock, random);
}

Membership::TargetLoad TargetContext::load() const
{
    auto queued = Admission::Queries::queueStatistics(state.queue).requests;
    return Admission::Queries::targetLoad(state.permits, static_cast<unsigned>(queued), Admission::Queries::isAccepting(contextSource.admissionContext()));
}

} // namespace Lavenderloft::Process
