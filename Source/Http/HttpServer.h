#pragma once

#include "Base/Clock.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Http {

// Sends the response to one request. May be used from any thread, one call at a time.
class ResponseStream {
public:
    // Called when the bytes have been handed to the operating system, with false if the connection broke.
    using WrittenCallback = std::function<void(bool ok)>;

    virtual ~ResponseStream() = default;

    // Sends a whole response.
    virtual void respond(HttpResponse) = 0;

    // Sends the head of a chunked response.
    virtual void start(unsigned status, HttpHeaders) = 0;

    // Sends a part; the next part may be given only after the callback, which gives back pressure.
    virtual void write(std::string bytes, WrittenCallback) = 0;

    // Sends the final chunk.
    virtual void finish() = 0;

    // Closes the connection without the final chunk, so that the response is not taken for whole.
    virtual void abort() = 0;

    // Sets the function that is called once if the caller closes the connection early.
    virtual void onDisconnect(std::function<void()>) = 0;
};

// Receives the requests of a server, on any of its threads.
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
    size_t maximumConnections = 4096;
    // A sender that needs longer for one request, or idles longer between two, is cut off.
    std::chrono::milliseconds requestTimeout { 30000 };
    // A reader that takes nothing for longer than this is cut off.
    std::chrono::milliseconds writeTimeout { 60000 };
    // Kernel send buffer of each connection in bytes; zero keeps the operating system's choice.
    int sendBufferBytes = 0;
};

// An HTTP/1.1 server over Beast.
class HttpServer {
public:
    // Throws std::runtime_error with the address if it cannot be bound.
    HttpServer(HttpServerOptions, std::shared_ptr<HttpHandler>);
    ~HttpServer();

    // The port in use, also when 0 was asked for.
    uint16_t port() const;

    size_t connectionCount() const;

    // Stops accepting and tells callers with the next response to close the connection.
    void drain();

    // Closes every connection and ends the threads.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Http
