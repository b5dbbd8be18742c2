#pragma once

#include "Http/HttpServer.h"
#include "Observability/Metrics.h"
#include "Process/ControlView.h"

#include <atomic>

namespace Lavenderloft::Process {

// Serves /metrics, /healthz and /readyz on a router's admin port. A router is not ready while it drains or before
// it has synchronised the desired state.
class RouterAdminHandler final : public Http::HttpHandler {
public:
    RouterAdminHandler(const Observability::Metrics&, const ControlView&, const std::atomic<bool>& draining);

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) override;

private:
    const Observability::Metrics& m_metrics;
    const ControlView& m_control;
    const std::atomic<bool>& m_draining;
};

} // namespace Lavenderloft::Process
