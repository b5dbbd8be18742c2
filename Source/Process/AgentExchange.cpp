#include "Process/AgentExchange.h"

#include "Admission/Commands/RunRequest.h"
#include "Admission/Events.h"
#include "Admission/Queries/FindRefusal.h"
#include "Http/EngineRequest.h"
#include "Http/ForwardedHeaders.h"
#include "Observability/Log.h"

#include <strings.h>

namespace Lavenderloft::Process {

namespace {

    constexpr const char* adapterHeader = "X-Adapter";

} // namespace

AgentExchange::AgentExchange(std::shared_ptr<TargetContext> context, std::shared_ptr<Admission::ResponseWriter> sink)
    : m_context(std::move(context))
    , m_sink(std::move(sink))
{
}

void AgentExchange::admit(Admission::AdmissionRequest request)
{
    auto situation = m_context->situations.admissionContext();
    {
        std::lock_guard guard(m_lock);
        if (m_phase != Phase::Opened)
            return;
        m_phase = Phase::Admitted;
        m_request = request;
        m_admittedDigest = situation.servedDigest;
    }
    auto result = Admission::Commands::admitRequest(m_context->state, situation, request, shared_from_this(), m_context->clock, m_context->random);
    if (auto* permit = std::get_if<Admission::Permit>(&result))
        return granted(*permit);
    if (auto* answer = std::get_if<Admission::Commands::StoredResponsePointer>(&result))
        return replay(*answer);
    if (auto* refusal = std::get_if<Admission::Refusal>(&result))
        return refused(*refusal);
    // A router that left while the request was queued must not hold its place.
    if (hasEnded())
        Admission::Commands::withdrawAttempt(m_context->state, request, m_context->clock);
    // A slot may have become free between the refusal of a permit and the place in the queue.
    m_context->grantWaiting();
}

bool AgentExchange::hasEnded()
{
    std::lock_guard guard(m_lock);
    return m_phase == Phase::Ended;
}

void AgentExchange::granted(const Admission::Permit& permit)
{
    // The adapter may have been withdrawn while the request was queued. The permit is recorded before this look
    // at the document, and the order to unload looks at the permits after the document, so one sees the other.
    if (!m_request.adapter.empty()) {
        if (auto refusal = Admission::Queries::findRefusal(m_context->situations.admissionContext(), m_request)) {
            Admission::Commands::withdrawAttempt(m_context->state, m_request, m_context->clock);
            return endWithRefusal(*refusal);
        }
    }
    std::unique_lock guard(m_lock);
    if (m_phase == Phase::Admitted) {
        m_context->metrics.count("lavenderloft_permits_granted_total");
        m_sink->permit(permit, m_context->load());
        return;
    }
    guard.unlock();
    Admission::Commands::withdrawAttempt(m_context->state, m_request, m_context->clock);
}

void AgentExchange::refused(const Admission::Refusal& refusal)
{
    endWithRefusal(refusal);
}

void AgentExchange::countRefusal(const Admission::Refusal& refusal)
{
    Observability::logEvent(Admission::requestRefused, { { "request", m_request.requestId }, { "attempt", m_request.attemptId }, { "reason", refusal.message } });
    m_context->metrics.count("lavenderloft_refusals_total", { { "reason", std::to_string(static_cast<int>(refusal.kind)) } });
}

void AgentExchange::endWithRefusal(const Admission::Refusal& refusal)
{
    countRefusal(refusal);
    if (auto sink = endExchange())
        sink->refuse(refusal, m_context->load());
}

std::shared_ptr<Admission::ResponseWriter> AgentExchange::endExchange()
{
    std::lock_guard guard(m_lock);
    m_phase = Phase::Ended;
    return std::exchange(m_sink, nullptr);
}

void AgentExchange::replay(const std::shared_ptr<const Admission::StoredResponse>& answer)
{
    auto sink = endExchange();
    if (!sink)
        return;
    auto head = answer->head;
    head.replayed = true;
    sink->head(head);
    Admission::ResponseEnd end;
    end.totalBytes = answer->body.size();
    if (answer->body.empty())
        return sink->end(end, m_context->load());
    sink->data(answer->body, [sink, end, context = m_context] { sink->end(end, context->load()); });
}

void AgentExchange::head(Admission::RequestHead head)
{
    std::lock_guard guard(m_lock);
    m_head = std::move(head);
}

void AgentExchange::body(std::string bytes)
{
    {
        std::lock_guard guard(m_lock);
        if (m_phase != Phase::Admitted)
            return;
        if (m_body.size() + bytes.size() <= m_request.bodyBytes) {
            m_body += bytes;
            return;
        }
    }
    Admission::Commands::withdrawAttempt(m_context->state, m_request, m_context->clock);
    endWithRefusal(Admission::makeRefusal(Admission::RefusalReason::TooLarge, "the body is larger than announced", "announce the size of the whole body"));
}

void AgentExchange::endOfBody()
{
    {
        std::lock_guard guard(m_lock);
        if (m_phase != Phase::Admitted)
            return;
    }
    auto started = Admission::Commands::startRequest(m_context->state, m_request, m_head.permitId, m_context->clock);
    if (!Base::succeeded(started))
        return endWithRefusal(Base::errorOf(started));
    run();
}

void AgentExchange::run()
{
    std::shared_ptr<TargetRun> targetRun;
    {
        std::lock_guard guard(m_lock);
        if (m_phase == Phase::Admitted) {
            m_phase = Phase::Running;
            targetRun = std::make_shared<TargetRun>(m_context, m_request, m_admittedDigest, std::exchange(m_sink, nullptr));
            m_run = targetRun;
        }
    }
    if (targetRun)
        return targetRun->start(makeTargetRequest());
    // The router left between the end of the body and the start; nothing has been sent to the target.
    Admission::Commands::finishRequest(m_context->state, m_request, { Admission::AttemptState::NotRun, false, nullptr }, m_context->clock);
    m_context->grantWaiting();
}

Http::HttpRequest AgentExchange::makeTargetRequest()
{
    Http::HttpRequest request;
    bool isModel = m_context->kind == Settings::TargetKind::Model;
    request.method = isModel ? "POST" : m_head.method;
    request.target = isModel ? "/engine/generate" : m_head.path;
    for (auto& header : m_head.headers) {
        // A model engine gets the adapter that was admitted, whatever the caller sends.
        if (Http::isForwarded(header.name) && !(isModel && strcasecmp(header.name.c_str(), adapterHeader) == 0))
            request.headers.push_back({ header.name, header.value });
    }
    if (isModel)
        Http::setResumeFrom(request.headers, m_request.resumeFromToken);
    if (isModel && !m_request.adapter.empty())
        request.headers.push_back({ adapterHeader, m_request.adapter });
    request.body = isModel ? Http::withPriority(m_body, m_request.priorityClass) : std::move(m_body);
    return request;
}

void AgentExchange::cancelled()
{
    std::shared_ptr<TargetRun> targetRun;
    Phase previous = Phase::Ended;
    {
        std::lock_guard guard(m_lock);
        previous = std::exchange(m_phase, Phase::Ended);
        m_sink.reset();
        targetRun = std::exchange(m_run, nullptr);
    }
    if (previous == Phase::Admitted) {
        Admission::Commands::withdrawAttempt(m_context->state, m_request, m_context->clock);
        m_context->grantWaiting();
    }
    if (targetRun)
        targetRun->abandon();
}

} // namespace Lavenderloft::Process
