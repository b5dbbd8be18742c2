#include "Standin/StandinServer.h"

namespace Lavenderloft::Standin {

StandinServer::StandinServer(Http::Endpoint listen)
    : m_listen(std::move(listen))
{
}

void StandinServer::start()
{
    Http::HttpServerOptions options;
    options.listen = m_listen;
    m_httpServer = std::make_unique<Http::HttpServer>(options, shared_from_this());
}

void StandinServer::stop()
{
    m_httpServer->stop();
    m_timer.stop();
    dropPendingResponses();
    m_httpServer.reset();
}

void StandinServer::handle(Http::HttpRequest request, Stream stream)
{
    auto path = parseRequestPath(request.target);
    if (path.segment(0) == "test")
        return handleJsonErrors(stream, [&] { handleTestRequest(path, request, stream); });
    handleServiceRequest(path, request, stream);
}

} // namespace Lavenderloft::Standin
