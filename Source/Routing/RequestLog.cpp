#include "Routing/RequestLog.h"

#include "Observability/Log.h"
#include "Observability/Metrics.h"
#include "Routing/Events.h"

namespace Lavenderloft::Routing {

using Observability::logEvent;

RequestLog::RequestLog(const LiveRequest& request, Observability::Metrics& metrics)
    : m_request(request)
    , m_metrics(metrics)
{
}

void RequestLog::attemptRouted(const Target& target, unsigned attempts, std::string_view reason) const
{
    if (Observability::isLogged(Routing::attemptRouted))
        logEvent(Routing::attemptRouted, { { "request", m_request.id }, { "destination", m_request.destination }, { "target", target.vm() }, { "attempt", attempts }, { "reason", reason } });
}

void RequestLog::attemptRefused(const Target& target, const Refusal& refusal) const
{
    logEvent(Routing::attemptRefused, { { "request", m_request.id }, { "target", target.vm() }, { "message", refusal.message } });
    m_metrics.count("attempts_refused_total", { { "destination", m_request.destination } });
}

void RequestLog::attemptBroken(const Target& target, bool isSent, const std::string& reason) const
{
    logEvent(Routing::attemptBroken, { { "request", m_request.id }, { "target", target.vm() }, { "sent", isSent }, { "reason", reason } });
    m_metrics.count("attempts_broken_total", { { "destination", m_request.destination } });
}

void RequestLog::attemptResolved(const Target& target, bool isNotRun, bool isSameAgent) const
{
    logEvent(Routing::attemptResolved, { { "request", m_request.id }, { "target", target.vm() }, { "notRun", isNotRun }, { "sameAgent", isSameAgent } });
}

void RequestLog::engineCrashed(const Target& target) const
{
    logEvent(crashRecorded, { { "request", m_request.id }, { "target", target.vm() }, { "fingerprint", m_request.fingerprint } });
    m_metrics.count("engine_crashes_seen_total");
}

void RequestLog::frameDropped(const char* frame) const
{
    m_metrics.count("frames_dropped_total", { { "frame", frame } });
    logEvent(Routing::frameDropped, { { "request", m_request.id }, { "frame", frame } });
}

void RequestLog::retryCounted(bool isCharged) const
{
    m_metrics.count("retries_total", { { "paid", isCharged ? "true" : "false" } });
}

void RequestLog::retryDenied() const
{
    m_metrics.count("retries_denied_total");
}

void RequestLog::retried(const std::string& reason) const
{
    logEvent(attemptRetried, { { "request", m_request.id }, { "reason", reason } });
}

void RequestLog::resumed(uint64_t token, unsigned resumes, const std::string& reason) const
{
    m_metrics.count("answers_resumed_total", { { "destination", m_request.destination } });
    logEvent(answerResumed, { { "request", m_request.id }, { "token", token }, { "resumes", resumes }, { "reason", reason } });
}

void RequestLog::waiting(const std::string& reason) const
{
    logEvent(requestWaiting, { { "request", m_request.id }, { "reason", reason } });
}

void RequestLog::quarantined(bool isPending) const
{
    logEvent(isPending ? requestHeld : requestQuarantined, { { "request", m_request.id }, { "fingerprint", m_request.fingerprint } });
}

void RequestLog::slowReaderAborted(uint64_t receivedBytes) const
{
    logEvent(slowReaderCut, { { "request", m_request.id }, { "sent", receivedBytes } });
    m_metrics.count("slow_readers_cut_total");
}

void RequestLog::failed(const RoutingError& error) const
{
    logEvent(requestFailed, { { "request", m_request.id }, { "code", codeName(error.code) }, { "outcome", outcomeName(error.outcome) }, { "reason", error.message } });
    m_metrics.count("errors_total", { { "code", std::string(codeName(error.code)) }, { "outcome", std::string(outcomeName(error.outcome)) } });
}

void RequestLog::aborted(const std::string& reason) const
{
    logEvent(requestCut, { { "request", m_request.id }, { "reason", reason } });
}

void RequestLog::ended(const char* result, Base::Duration duration) const
{
    m_metrics.count("requests_total", { { "destination", m_request.destination }, { "result", result } });
    std::chrono::duration<double> seconds = duration;
    m_metrics.observe("request_seconds", { { "destination", m_request.destination } }, seconds.count());
}

} // namespace Lavenderloft::Routing
