#pragma once

#include "Http/HttpServer.h"
#include "Process/ControlView.h"
#include "Routing/RoutingContext.h"

namespace Lavenderloft::Process {

// Decodes the requests of callers, hands them to routing and encodes the answers.
class CallerHandler final : public Http::HttpHandler {
public:
    // Requests hold the context; the handler itself does not keep it alive.
    CallerHandler(std::weak_ptr<Routing::RoutingContext>, const ControlView&);

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) override;

private:
    std::weak_ptr<Routing::RoutingContext> m_context;
    const ControlView& m_control;
};

} // namespace Lavenderloft::Process
