#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Http {

enum class HttpErrorKind {
    // The connection was not established, so no part of the request was sent.
    NotSent,
    // The connection failed or the response was malformed after sending began; the server may have run the request.
    Broken,
    TimedOut,
    Cancelled,
};

using HttpError = Base::Error<HttpErrorKind>;

// Receives one response. The methods are called on a thread of the client, one at a time.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    virtual void head(unsigned status, HttpHeaders) = 0;

    // No more data is read until `resume` is called, which applies back pressure to the server.
    virtual void data(std::string bytes, std::function<void()> resume) = 0;

    // Called once, after all other calls, with success if the response is complete.
    virtual void end(Base::Result<Base::Done, HttpError>) = 0;
};

// Handle of a pending request.
class HttpCall {
public:
    virtual ~HttpCall() = default;
    virtual void cancel() = 0;
};

// An HTTP/1.1 client that opens a connection for each request.
class HttpClient {
public:
    explicit HttpClient(unsigned threads = 1);
    ~HttpClient();

    // Sends a request and streams the response to the sink. The timeout applies to connecting, to sending the
    // request and to each read of the response, not to the whole exchange.
    std::shared_ptr<HttpCall> send(const Endpoint&, HttpRequest, std::chrono::milliseconds idleTimeout, std::shared_ptr<ResponseSink>);

    // Sends a request and blocks until the response is complete. Connecting, sending and the response each have to finish
    // within the timeout, and the body is limited to 16 MiB. Must not be called on a thread of this client, which could
    // block the thread that has to process the response.
    Base::Result<HttpResponse, HttpError> fetch(const Endpoint&, HttpRequest, std::chrono::milliseconds timeout);

    // Cancels pending requests and all later ones, so that no thread stays blocked in fetch().
    void shutDown();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Http
