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

AgentExchange::AgentExchange(std::shared_ptr<TargetContext> context, std::shared_ptr<Admission::ResponseWriter> writer)
    : m_context(std::move(context))
    , m_writer(std::move(writer))
{
}

void AgentExchange::admit(Admission::AdmissionRequest request)
{
    auto context = m_context->contextSource.admissionContext();
    {
        std::lock_guard guard(m_lock);
        if (m_phase != Phase::Opened)
            return;
        m_phase = Phase::Admitted;
        m_request = request;
        m_admittedDigest = context.servedDigest;
    }
    auto result = Admission::Commands::admitRequest(m_context->state, context, request, shared_from_this(), m_context->clock, m_context->random);
    if (auto* permit = std::get_if<Admission::Permit>(&result))
        return granted(*permit);
    if (auto* response = std::get_if<Admission::Commands::StoredResponsePointer>(&result))
        return replay(*response);
    if (auto* refusal = std::get_if<Admission::Refusal>(&result))
        return refused(*refusal);
    // If the router disconnected while the request was being queued, release its place in the queue.
    if (hasEnded())
        Admission::Commands::withdrawAttempt(m_context->state, request, m_context->clock);
    // A slot may have become free after admission found none and before the request was queued.
    m_context->grantWaiting();
}

bool AgentExchange::hasEnded()
{
    std::lock_guard guard(m_lock);
    return m_phase == Phase::Ended;
}

void AgentExchange::granted(const Admission::Permit& permit)
{
    // The adapter may have been removed from the document while the request was queued. The permit is recorded
    // before the document is read here, whereas unloading reads the document before the permits. So either the
    // request is refused here or the unload waits for its permit.
    if (!m_request.adapter.empty()) {
        if (auto refusal = Admission::Queries::findRefusal(m_context->contextSource.admissionContext(), m_request)) {
            Admission::Commands::withdrawAttempt(m_context->state, m_request, m_context->clock);
            return endWithRefusal(*refusal);
        }
    }
    std::unique_lock guard(m_lock);
    if (m_phase == Phase::Admitted) {
        m_context->metrics.count("lavenderloft_permits_granted_total");
        m_writer->permit(permit, m_context->load());
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
    if (auto writer = endExchange())
        writer->refuse(refusal, m_context->load());
}

std::shared_ptr<Admission::ResponseWriter> AgentExchange::endExchange()
{
    std::lock_guard guard(m_lock);
    m_phase = Phase::Ended;
    return std::exchange(m_writer, nullptr);
}

void AgentExchange::replay(const std::shared_ptr<const Admission::StoredResponse>& response)
{
    auto writer = endExchange();
    if (!writer)
        return;
    auto head = response->head;
    head.replayed = true;
    writer->head(head);
    Admission::ResponseEnd end;
    end.totalBytes = response->body.size();
    if (response->body.empty())
        return writer->end(end, m_context->load());
    writer->data(response->body, [writer, end, context = m_context] { writer->end(end, context->load()); });
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
    endWithRefusal(Admission::makeRefusal(Admission::RefusalReason::TooLarge, "the request body exceeds the " + std::to_string(m_request.bodyBytes) + " bytes announced", "announce the size of the whole body"));
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
            targetRun = std::make_shared<TargetRun>(m_context, m_request, m_admittedDigest, std::exchange(m_writer, nullptr));
            m_run = targetRun;
        }
    }
    if (targetRun)
        return targetRun->start(makeTargetRequest());
    // The router disconnected after the end of the body; nothing has been sent to the target.
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
        // A model engine receives the admitted adapter; the header of the caller is dropped.
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
        m_writer.reset();
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
