#pragma once

#include "Admission/AdmissionContextSource.h"
#include "Http/HttpServer.h"
#include "Observability/Metrics.h"

namespace Lavenderloft::Process {

// Serves /metrics, /healthz and /readyz on an agent's admin port.
class AgentAdminHandler final : public Http::HttpHandler {
public:
    AgentAdminHandler(const Observability::Metrics&, const Admission::AdmissionContextSource&);

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) override;

private:
    Http::HttpResponse respondTo(const Http::HttpRequest&) const;

    const Observability::Metrics& m_metrics;
    const Admission::AdmissionContextSource& m_contextSource;
};

} // namespace Lavenderloft::Process
