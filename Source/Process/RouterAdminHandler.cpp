#include "Process/RouterAdminHandler.h"

namespace Lavenderloft::Process {

namespace {

    Http::HttpResponse text(unsigned status, std::string body)
    {
        return { status, { { "Content-Type", "text/plain; charset=utf-8" } }, std::move(body) };
    }

} // namespace

RouterAdminHandler::RouterAdminHandler(const Observability::Metrics& metrics, const ControlView& control, const std::atomic<bool>& draining)
    : m_metrics(metrics)
    , m_control(control)
    , m_draining(draining)
{
}

void RouterAdminHandler::handle(Http::HttpRequest request, std::shared_ptr<Http::ResponseStream> stream)
{
    if (request.target == "/metrics")
        return stream->respond(text(200, m_metrics.serialize()));
    if (request.target == "/healthz")
        return stream->respond(text(200, "ok\n"));
    if (request.target != "/readyz")
        return stream->respond(text(404, "not found; this port serves /metrics, /healthz and /readyz\n"));
    if (m_draining)
        return stream->respond(text(503, "leaving\n"));
    if (!m_control.document() || !m_control.isSynchronised())
        return stream->respond(text(503, "waiting for the desired state\n"));
    stream->respond(text(200, "ready\n"));
}

} // namespace Lavenderloft::Process
