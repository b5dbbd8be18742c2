#pragma once

#include "Routing/ResponseMatcher.h"
#include "Routing/RoutingContext.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Lavenderloft::Routing {

// The open attempt of a request, or the last one if none is open. Counts it as in flight at its target. Not
// thread-safe.
class CurrentAttempt {
public:
    // The fingerprint is that of the request.
    CurrentAttempt(RoutingContext&, uint64_t fingerprint);

    // Creates an attempt whose response has to satisfy the matcher. The caller starts it without holding a lock.
    std::shared_ptr<Attempt> open(std::shared_ptr<Target>, const AdmissionRequest&, ResponseMatcher, std::shared_ptr<AttemptEvents>);

    // Records the permit under which the request is sent. The caller sends it without holding a lock.
    std::shared_ptr<Attempt> permit(const Permit&);

    // Closes the attempt and returns it, so that the caller can cancel it without holding a lock. Returns null if none
    // is open.
    std::shared_ptr<Attempt> release();

    bool isOpen() const { return m_attempt != nullptr; }
    // Whether the attempt is open and the request was sent.
    bool isSent() const { return m_isSent; }
    bool hasId(const std::string& id) const { return m_target && m_id == id; }

    const std::string& id() const { return m_id; }
    // Null before the first attempt.
    const std::shared_ptr<Target>& target() const { return m_target; }
    const std::shared_ptr<TargetChannel>& channel() const { return m_channel; }
    const Permit& grantedPermit() const { return m_permit; }
    ResponseMatcher& matcher() { return m_matcher; }

private:
    RoutingContext& m_context;
    const uint64_t m_fingerprint;
    std::string m_id;
    std::shared_ptr<Target> m_target;
    std::shared_ptr<TargetChannel> m_channel;
    std::shared_ptr<Attempt> m_attempt;
    Permit m_permit;
    ResponseMatcher m_matcher;
    bool m_isSent = false;
};

} // namespace Lavenderloft::Routing
