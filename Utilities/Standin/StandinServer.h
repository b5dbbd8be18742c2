#pragma once

#include "Http/HttpServer.h"
#include "Standin/JsonResponse.h"
#include "Standin/Timer.h"

#include <memory>

namespace Lavenderloft::Standin {

// The HTTP side that the stand-ins have in common: a server, a timer, and the paths below /test with which
// tests set faults and read counters.
class StandinServer : public Http::HttpHandler, public std::enable_shared_from_this<StandinServer> {
public:
    explicit StandinServer(Http::Endpoint listen);

    // Throws std::runtime_error if the address cannot be bound.
    void start();

    // Cuts off all connections; requests that still wait are dropped.
    void stop();

    uint16_t port() const { return m_httpServer->port(); }

    void handle(Http::HttpRequest, std::shared_ptr<Http::ResponseStream>) final;

protected:
    using Stream = std::shared_ptr<Http::ResponseStream>;

    // Answers a request to the service that the stand-in takes the place of.
    virtual void handleServiceRequest(const RequestPath&, const Http::HttpRequest&, const Stream&) = 0;

    // Answers a request below /test; may throw nlohmann::json::exception for a member of the wrong type.
    virtual void handleTestRequest(const RequestPath&, const Http::HttpRequest&, const Stream&) = 0;

    // Forgets the requests that still wait for an answer.
    virtual void dropPendingResponses() { }

    Timer& timer() { return m_timer; }

    // For callbacks that may run after the stand-in has gone.
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
