#include "Process/AgentAdminHandler.h"

#include "Admission/Queries/FindRefusal.h"

namespace Lavenderloft::Process {

AgentAdminHandler::AgentAdminHandler(const Observability::Metrics& metrics, const Admission::AdmissionContextSource& contextSource)
    : m_metrics(metrics)
    , m_contextSource(contextSource)
{
}

void AgentAdminHandler::handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream)
{
    stream->respond(respondTo(request));
}

Http::HttpResponse AgentAdminHandler::respondTo(const Http::HttpRequest& request) const
{
    if (request.method != "GET")
        return { 405, { { "Allow", "GET" } }, "only GET is allowed\n" };
    if (request.target == "/metrics")
        return { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.serialize() };
    if (request.target == "/healthz")
        return { 200, {}, "ok\n" };
    if (request.target == "/readyz") {
        bool isAccepting = Admission::Queries::isAccepting(m_contextSource.admissionContext());
        return isAccepting ? Http::HttpResponse { 200, {}, "ready\n" } : Http::HttpResponse { 503, {}, "the target does not accept requests\n" };
    }
    return { 404, {}, "not found; this port serves /metrics, /healthz and /readyz\n" };
}

} // namespace Lavenderloft::Process
