#pragma once

#include "Dispatch/AdmissionPolicy.h"

namespace Lavenderloft::Dispatch {

// Sheds load that exceeds the capacity of a service. A request waits for a fraction of its target latency only:
// admitted requests finish in time, and refused callers can still try another node.
class BoundedWaitPolicy final : public AdmissionPolicy {
public:
    unsigned concurrencyLimit(unsigned slots, bool isEngine) const override;
    Base::Duration maximumWait(const RequestTraits&, const ServiceLoad&) const override;
    std::chrono::milliseconds retryAfter(const RequestTraits&, const ServiceLoad&) const override;
};

} // namespace Lavenderloft::Dispatch
