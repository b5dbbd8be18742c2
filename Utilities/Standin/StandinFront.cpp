#include "Standin/StandinFront.h"

namespace Lavenderloft::Standin {

StandinFront::StandinFront(Http::Endpoint listen)
    : m_listen(std::move(listen))
{
}

void StandinFront::start()
{
    Http::HttpServerOptions options;
    options.listen = m_listen;
    m_server = std::make_unique<Http::HttpServer>(options, shared_from_this());
}

void StandinFront::stop()
{
    m_server->stop();
    m_timer.stop();
    dropWaiting();
    m_server.reset();
}

void StandinFront::handle(Http::HttpRequest request, Stream stream)
{
    auto path = parseRequestPath(request.target);
    if (path.segment(0) == "test")
        return respondToControl(stream, [&] { control(path, request, stream); });
    serve(path, request, stream);
}

} // namespace Lavenderloft::Standin
