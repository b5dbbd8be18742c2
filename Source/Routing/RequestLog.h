#pragma once

#include "Routing/LiveRequest.h"
#include "Routing/RoutingError.h"
#include "Routing/Target.h"
#include "Routing/TargetChannel.h"

#include <string>
#include <string_view>

namespace Lavenderloft::Observability {
class Metrics;
}

namespace Lavenderloft::Routing {

// Writes the events and metrics of one request. Thread-safe. The request and the metrics must outlive it.
class RequestLog {
public:
    RequestLog(const LiveRequest&, Observability::Metrics&);

    void attemptRouted(const Target&, unsigned attempts, std::string_view reason) const;
    void attemptRefused(const Target&, const Refusal&) const;
    void attemptBroken(const Target&, bool isSent, const std::string& reason) const;
    void attemptResolved(const Target&, bool isNotRun, bool isSameAgent) const;
    void engineCrashed(const Target&) const;
    void frameDropped(const char* frame) const;

    void retryCounted(bool isCharged) const;
    void retryDenied() const;
    void retried(const std::string& reason) const;
    void resumed(uint64_t token, unsigned resumes, const std::string& reason) const;
    void waiting(const std::string& reason) const;

    // `isPending` if crash reports that may clear the request are outstanding.
    void quarantined(bool isPending) const;
    void slowReaderAborted(uint64_t receivedBytes) const;
    void failed(const RoutingError&) const;
    void aborted(const std::string& reason) const;
    void ended(const char* result, Base::Duration duration) const;

private:
    const LiveRequest& m_request;
    Observability::Metrics& m_metrics;
};

} // namespace Lavenderloft::Routing
