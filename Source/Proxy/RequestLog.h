#pragma once

#include "Fleet/FleetState.h"
#include "Observability/Event.h"
#include "Proxy/CallerResponse.h"
#include "Proxy/TargetAttempt.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Lavenderloft::Proxy {

// Log events and metrics of one request.
class RequestLog {
public:
    // The response must outlive the log.
    RequestLog(std::shared_ptr<const ProxyRequest>, const CallerResponse&);

    // Keeps what is logged of the last attempt.
    void attemptStarted(const Dispatch::Lease&);

    void attemptFailed(const TargetAttempt&, const AttemptOutcome&, bool isRetried);

    // The target was silent for the limit. The action says what the router does about it.
    void attemptSilent(const TargetAttempt&, Base::Duration limit, std::string_view action);

    // How the search for another target ended; the refusal is empty unless none was found.
    void replacementEnded(std::string_view result, std::string_view refusal);

    void retryRefused(std::string_view refusal) { m_retryRefusal = refusal; }

    // The configuration does not allow the request.
    void deniedByConfiguration(bool isOutdated);

    // The request has its final outcome.
    void finished(const Observability::Event&, unsigned status, std::string_view reason);
    bool isFinished() const { return m_isFinished; }

private:
    void countPlacement(const Dispatch::Lease&);
    void countFinished(const Observability::Event&, std::string_view reason);
    std::chrono::milliseconds elapsed() const;
    // From the arrival of the request to the first byte of the response body; zero without one.
    std::chrono::milliseconds timeToFirstByte() const;

    std::shared_ptr<const ProxyRequest> m_request;
    const CallerResponse& m_response;
    bool m_isFinished = false;
    std::string m_lastTarget;
    // Why a retry was refused; empty if none was.
    std::string_view m_retryRefusal;
    std::chrono::milliseconds m_waited { 0 };
    // Requests at the last target when this request was sent there.
    unsigned m_occupancy = 0;
    // Predicted at the last assignment; nothing if the service has no model of its engines.
    std::optional<Dispatch::PredictedPlacement> m_predicted;
    // Weights version that the last target was required to hold; zero if any version was allowed.
    uint64_t m_expectedWeights = 0;
};

} // namespace Lavenderloft::Proxy
