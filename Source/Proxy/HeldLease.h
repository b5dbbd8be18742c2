#pragma once

#include "Dispatch/Commands/RecordOutcome.h"
#include "Dispatch/Decision.h"
#include "Proxy/ProxyRequest.h"

#include <memory>

namespace Lavenderloft::Proxy {

// A lease of a request. It is released with this object at the latest, unless the event loop has stopped: the dispatch
// state may be gone by then.
class HeldLease {
public:
    HeldLease(std::shared_ptr<ProxyRequest>, Dispatch::Lease);
    HeldLease(const HeldLease&) = delete;
    HeldLease& operator=(const HeldLease&) = delete;
    // Releases the lease as that of an abandoned attempt.
    ~HeldLease();

    const Dispatch::Lease& operator*() const { return m_lease; }
    const Dispatch::Lease* operator->() const { return &m_lease; }

    bool isReleased() const { return m_isReleased; }
    void release(Dispatch::Commands::AttemptResult, Base::TimePoint now);

private:
    std::shared_ptr<ProxyRequest> m_request;
    Dispatch::Lease m_lease;
    bool m_isReleased = false;
};

} // namespace Lavenderloft::Proxy
