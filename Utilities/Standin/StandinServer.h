#pragma once

#include "Http/HttpServer.h"
#include "Standin/JsonResponse.h"
#include "Standin/Timer.h"

#include <memory>

namespace Lavenderloft::Standin {

// Base class of the stand-ins' servers: an HTTP server, a timer, and the paths below /test with which tests set faults
// and read counters.
class StandinServer : public Http::HttpHandler, public std::enable_shared_from_this<StandinServer> {
public:
    explicit StandinServer(Http::Endpoint listen);

    // Throws std::runtime_error if the address cannot be bound.
    void start();

    // Closes all connections and drops pending requests.
    void stop();

    uint16_t port() const { return m_httpServer->port(); }

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) final;

protected:
    using Stream = std::shared_ptr<Http::ResponseStream>;

    // Handles a request to the simulated service.
    virtual void handleServiceRequest(const RequestPath&, const Http::HttpRequest&, const Stream&) = 0;

    // Handles a request below /test; may throw nlohmann::json::exception for a member of the wrong type.
    virtual void handleTestRequest(const RequestPath&, const Http::HttpRequest&, const Stream&) = 0;

    // Drops the responses that were not sent yet.
    virtual void dropPendingResponses() { }

    Timer& timer() { return m_timer; }

    // For callbacks that may run after the server was destroyed.
    template <typename Server>
    static std::weak_ptr<Server> weakFrom(Server* front)
    {
        return std::static_pointer_cast<Server>(front->shared_from_this());
    }

private:
    Http::Endpoint m_listen;
    Timer m_timer;
    std::unique_ptr<Http::HttpServer> m_httpServer;
};

} // namespace Lavenderloft::Standin
