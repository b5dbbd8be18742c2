#include "Proxy/HeldLease.h"

#include "Http/TaskFailures.h"

#include <utility>

namespace Lavenderloft::Proxy {

HeldLease::HeldLease(std::shared_ptr<ProxyRequest> request, Dispatch::Lease lease)
    : m_request(std::move(request))
    , m_lease(std::move(lease))
{
}

HeldLease::~HeldLease()
{
    if (m_isReleased || m_request->isLoopStopped())
        return;
    Http::guardTask("release-lease", [this] { release(Dispatch::Commands::AttemptResult::Abandoned, m_request->context.clock.now()); });
}

void HeldLease::release(Dispatch::Commands::AttemptResult result, Base::TimePoint now)
{
    if (!std::exchange(m_isReleased, true))
        Dispatch::Commands::releaseTarget(m_request->context.dispatch, m_request->traits.service, m_lease.target->entry.id, result, now);
}

} // namespace Lavenderloft::Proxy
