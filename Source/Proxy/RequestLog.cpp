#include "Proxy/RequestLog.h"

#include "Fleet/Queries/ReadFleet.h"
#include "Observability/Log.h"
#include "Proxy/Events.h"

namespace Lavenderloft::Proxy {

namespace {

    using namespace std::chrono_literals;

    // Slowness from which a placement counts as one at a slow target.
    constexpr double slowTarget = 1.5;

    // Hexadecimal and separated by commas, as callers write them.
    // The last ones, which fewest requests share.
    std::string formatParts(const std::vector<Dispatch::PromptPart>& parts)
    {
        constexpr size_t maximumParts = 64;
        std::string text;
        for (size_t i = parts.size() - std::min(parts.size(), maximumParts); i < parts.size(); ++i)
            text += (text.empty() ? "" : ",") + Dispatch::formatPartId(parts[i].id);
        return text;
    }

    std::chrono::milliseconds inMilliseconds(Base::Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    }

    double inSeconds(std::chrono::milliseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

RequestLog::RequestLog(std::shared_ptr<const ProxyRequest> request, const CallerResponse& response)
    : m_request(std::move(request))
    , m_response(response)
{
}

void RequestLog::attemptStarted(const Dispatch::Lease& lease)
{
    m_waited += lease.waited;
    m_occupancy = lease.occupancy;
    m_predicted = lease.predicted;
    countPlacement(lease);
    m_expectedWeights = lease.expectedWeights.value_or(0);
    m_lastTarget = lease.target->entry.id;
}

void RequestLog::countPlacement(const Dispatch::Lease& lease)
{
    if (!lease.predicted)
        return;
    auto& settings = m_request->context.dispatch.settings();
    std::string place = lease.spills ? "spilled" : lease.target->entry.dataCentre == settings.dataCentre ? "home"
                                                                                                         : "away";
    m_request->context.metrics.count("placements_total", { { "place", place }, { "slow", lease.predicted->slowness >= slowTarget ? "true" : "false" } });
}

void RequestLog::attemptFailed(const TargetAttempt& attempt, const AttemptOutcome& outcome, bool isRetried)
{
    auto end = Dispatch::Queries::attemptEndName(outcome.end);
    m_request->context.metrics.count("attempts_failed_total", { { "end", std::string(end) } });
    if (!Observability::isLogged(Events::attemptFailed))
        return;
    auto& history = m_request->history;
    Observability::logEvent(Events::attemptFailed,
        { { "request", m_request->head.requestId }, { "target", attempt.targetId() }, { "end", end }, { "status", outcome.status }, { "attempts", history.attempts },
            { "runs", history.runs }, { "repeat", isRetried }, { "arrivals", attempt.parts() }, { "silent_for", inMilliseconds(m_request->now() - attempt.lastHeardAt()) },
            { "time_left", m_request->timeLeft() }, { "parts", formatParts(m_request->traits.sharedParts) } });
}

void RequestLog::attemptSilent(const TargetAttempt& attempt, Base::Duration limit, std::string_view action)
{
    m_request->context.metrics.count("attempts_silent_total", { { "action", std::string(action) } });
    if (!Observability::isLogged(Events::attemptSilent))
        return;
    Observability::logEvent(Events::attemptSilent,
        { { "request", m_request->head.requestId }, { "target", attempt.targetId() }, { "limit", inMilliseconds(limit) }, { "arrivals", attempt.parts() },
            { "action", action }, { "runs", m_request->history.runs }, { "time_left", m_request->timeLeft() } });
}

void RequestLog::replacementEnded(std::string_view result, std::string_view refusal)
{
    m_request->context.metrics.count("replacements_total", { { "result", std::string(result) } });
    if (!Observability::isLogged(Events::replacementEnded))
        return;
    Observability::logEvent(Events::replacementEnded,
        { { "request", m_request->head.requestId }, { "result", result }, { "repeat_refused", refusal }, { "runs", m_request->history.runs }, { "time_left", m_request->timeLeft() } });
}

void RequestLog::deniedByConfiguration(bool isOutdated)
{
    auto& completeness = m_request->completeness;
    m_request->context.metrics.count("configuration_denials_total", { { "outdated", isOutdated ? "true" : "false" } });
    if (!completeness || !Observability::isLogged(Events::configurationAge))
        return;
    auto known = Fleet::Queries::knownPosition(m_request->context.fleet);
    Observability::logEvent(Events::configurationAge,
        { { "request", m_request->head.requestId }, { "age", inMilliseconds(m_request->now() - completeness->asOf) }, { "reported_by", completeness->source }, { "outdated", isOutdated },
            { "revision", m_request->snapshot->position.revision }, { "known_revision", known.revision } });
}

void RequestLog::finished(const Observability::Event& event, unsigned status, std::string_view reason)
{
    m_isFinished = true;
    countFinished(event, reason);
    if (!Observability::isLogged(event))
        return;
    auto& traits = m_request->traits;
    auto& snapshot = m_request->snapshot;
    auto route = traits.route ? traits.route->name : std::string();
    auto organisation = m_request->organisation ? m_request->organisation->name : std::string();
    auto configuration = snapshot && snapshot->configuration ? snapshot->configuration->version : 0;
    Observability::logEvent(event,
        { { "request", m_request->head.requestId }, { "route", route }, { "organisation", organisation }, { "target", m_lastTarget }, { "status", status }, { "reason", reason },
            { "repeat_refused", m_retryRefusal }, { "attempts", m_request->history.attempts }, { "runs", m_request->history.runs }, { "waited", m_waited }, { "occupancy", m_occupancy },
            { "predicted", inMilliseconds(m_predicted ? m_predicted->corrected.firstEvent : Base::Duration::zero()) }, { "pace", m_predicted ? m_predicted->slowness : 0 },
            { "first_byte", timeToFirstByte() }, { "elapsed", elapsed() }, { "time_left", m_request->timeLeft() }, { "weights", traits.requiredWeights },
            { "weights_expected", m_expectedWeights }, { "configuration", configuration }, { "revision", snapshot ? snapshot->position.revision : 0 } });
}

void RequestLog::countFinished(const Observability::Event& event, std::string_view reason)
{
    auto& metrics = m_request->context.metrics;
    std::string outcome(event.name);
    metrics.count("requests_total", { { "outcome", outcome }, { "reason", std::string(reason) } });
    metrics.observe("request_seconds", { { "outcome", outcome } }, inSeconds(elapsed()));
    if (m_request->history.attempts > 0)
        metrics.observe("request_wait_seconds", {}, inSeconds(m_waited));
    if (m_response.isStarted())
        metrics.observe("first_byte_seconds", {}, inSeconds(timeToFirstByte()));
}

std::chrono::milliseconds RequestLog::elapsed() const
{
    return inMilliseconds(m_request->now() - m_request->traits.arrivedAt);
}

std::chrono::milliseconds RequestLog::timeToFirstByte() const
{
    if (!m_response.isStarted())
        return 0ms;
    return inMilliseconds(*m_response.firstByteAt() - m_request->traits.arrivedAt);
}

} // namespace Lavenderloft::Proxy
