#pragma once

#include "Http/HttpServer.h"
#include "Process/ControlView.h"
#include "Routing/RoutingContext.h"

namespace Lavenderloft::Process {

// Decodes HTTP requests of callers, passes them to routing and encodes the responses.
class CallerHandler final : public Http::HttpHandler {
public:
    // Running requests own the context; the handler holds only a weak reference.
    CallerHandler(std::weak_ptr<Routing::RoutingContext>, const ControlView&);

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) override;

private:
    std::weak_ptr<Routing::RoutingContext> m_context;
    const ControlView& m_control;
};

} // namespace Lavenderloft::Process
