#pragma once

#include "Dispatch/AdmissionPolicy.h"

namespace Lavenderloft::Dispatch {

// Answers a load that exceeds the service: a request waits for a part of its target latency only, so that
// what is admitted is still answered in time and the rest is refused while the caller can still go elsewhere.
class BoundedWaitPolicy final : public AdmissionPolicy {
public:
    unsigned placesOf(unsigned slots, bool isEngine) const override;
    Base::Duration longestWait(const RequestTraits&, const ServiceLoad&) const override;
    std::chrono::milliseconds retryAfter(const RequestTraits&, const ServiceLoad&) const override;
};

} // namespace Lavenderloft::Dispatch
