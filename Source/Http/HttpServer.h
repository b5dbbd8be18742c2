#pragma once

#include "Base/Clock.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Http {

// Sends the response to one request. The methods may be called on any thread, but not concurrently.
class ResponseStream {
public:
    // Called when the bytes have been passed to the operating system, or with false if the connection failed.
    using WriteCallback = std::function<void(bool ok)>;

    virtual ~ResponseStream() = default;

    // Sends a complete response.
    virtual void respond(HttpResponse) = 0;

    // Sends the head of a chunked response.
    virtual void start(unsigned status, HttpHeaders) = 0;

    // Sends a chunk of the body. The next write must wait for the callback, which applies back pressure.
    virtual void write(std::string bytes, WriteCallback) = 0;

    // Sends the final chunk, which marks the response as complete.
    virtual void finish() = 0;

    // Closes the connection without the final chunk, so that the caller detects a truncated response.
    virtual void abort() = 0;

    // Sets the function that is called once if the connection closes before the response ends.
    virtual void onDisconnect(std::function<void()>) = 0;
};

// Handles the requests of a server; called on any of its threads.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    virtual void handle(HttpRequest, std::shared_ptr<ResponseStream>) = 0;
};

struct HttpServerOptions {
    Endpoint listen { "127.0.0.1", 0 };
    unsigned threads = 2;
    size_t maximumHeaderBytes = 16 * 1024;
    size_t maximumBodyBytes = 4 * 1024 * 1024;
    // Connections open at the same time; never more than half of the descriptors of the process.
    size_t maximumConnections = 4096;
    // Limit of the bodies and unusually large heads that are being received, over all connections.
    size_t maximumReceivedBytes = 64 * 1024 * 1024;
    // Longest time to receive a request, including the idle time before it.
    std::chrono::milliseconds requestTimeout { 30000 };
    // Limits the time of each write, so that a caller that stops reading is disconnected.
    std::chrono::milliseconds writeTimeout { 60000 };
    // Size of the kernel's send buffer of each connection; zero keeps the default of the operating system.
    int sendBufferBytes = 0;
};

// An HTTP/1.1 server on threads of its own.
class HttpServer {
public:
    // Throws std::runtime_error with the address if it cannot be bound.
    HttpServer(HttpServerOptions, std::shared_ptr<HttpHandler>);
    ~HttpServer();

    // Returns the bound port, also if port 0 was requested.
    uint16_t port() const;

    size_t connectionCount() const;

    // Number of connections that were closed or refused, because there were too many or too much was being received.
    uint64_t closedConnections() const;

    // Stops accepting connections and closes each open one after its next response.
    void drain();

    // Closes every connection and ends the threads.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Http
