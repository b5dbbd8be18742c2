#pragma once

#include "Base/Result.h"
#include "Http/HttpMessage.h"

#include <chrono>
#include <functional>
#include <memory>

namespace Lavenderloft::Http {

enum class HttpErrorKind {
    // The connection could not be made; the request was certainly not sent.
    NotSent,
    // The connection broke or the response was malformed after the request was sent.
    Broken,
    TimedOut,
    Cancelled,
};

using HttpError = Base::Error<HttpErrorKind>;

// Receives one response. Calls come from a thread of the client, one at a time.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    virtual void head(unsigned status, HttpHeaders) = 0;

    // No further data comes until `resume` is called, which gives back pressure.
    virtual void data(std::string bytes, std::function<void()> resume) = 0;

    // The last call: the response was whole, or an error.
    virtual void end(Base::Result<Base::Done, HttpError>) = 0;
};

// Handle of a request under way.
class HttpCall {
public:
    virtual ~HttpCall() = default;
    virtual void cancel() = 0;
};

// An HTTP/1.1 client over Beast; each request uses a connection of its own.
class HttpClient {
public:
    explicit HttpClient(unsigned threads = 1);
    ~HttpClient();

    // Sends a request and streams the response to the sink. The time-out is for the time without progress.
    std::shared_ptr<HttpCall> send(const Endpoint&, HttpRequest, std::chrono::milliseconds idleTimeout, std::shared_ptr<ResponseSink>);

    // Sends a request and waits for the whole response; not to be called on a thread of this client.
    Base::Result<HttpResponse, HttpError> fetch(const Endpoint&, HttpRequest, std::chrono::milliseconds idleTimeout);

    // Cancels every request under way and refuses new ones, so that no thread waits in fetch().
    void shutDown();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Lavenderloft::Http
